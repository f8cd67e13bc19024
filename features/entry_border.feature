Feature: An entry validates the requests of callers and keeps serving

  Background:
    Given a deployment of one engine, one service and one entry

  Scenario: Each invalid input gets a typed failure, and the entry keeps serving
    When these requests are sent to the entry
      | case                  | status | code                |
      | no credential         | 401    | credential_missing  |
      | wrong credential      | 401    | credential_wrong    |
      | unknown account       | 401    | unknown_account     |
      | unknown pipeline      | 404    | unknown_pipeline    |
      | unknown service       | 404    | unknown_service     |
      | model pool as service | 404    | unknown_service     |
      | unknown path          | 404    | unknown_path        |
      | wrong method          | 404    | unknown_path        |
      | malformed body        | 400    | body_malformed      |
      | body is a list        | 400    | body_malformed      |
      | unknown field         | 400    | body_malformed      |
      | deep body             | 400    | body_malformed      |
      | not a number          | 400    | body_malformed      |
      | not UTF-8             | 400    | body_malformed      |
      | large body            | 413    | body_too_large      |
      | huge declared body    | 413    | body_too_large      |
      | bad deadline          | 400    | header_malformed    |
      | zero deadline         | 400    | header_malformed    |
      | long key              | 400    | header_malformed    |
      | key with a space      | 400    | header_malformed    |
      | long request id       | 400    | header_malformed    |
    Then each of them has its status and code, and "ran" is no
    And the entry still answers a pipeline request
    And its metrics show each of these codes

  Scenario: A call is cancelled at the engine when its caller disconnects
    When a caller disconnects while its request is in a slow stage
    Then the engine records the call as cancelled

  Scenario: Requests with the same idempotency key get the same answer
    When the same order is sent twice with one key, and once with another body
    Then the first two answers are identical and the service ran the order once
    And the third is refused as "key_reused"

  Scenario: The answer to an order is available after its caller disconnected
    When a caller disconnects while its order is at the service
    Then the same order with the same key gets the answer, and it ran once

  Scenario: A shutdown waits for a caller that reads slowly
    When the entry is terminated before its caller reads a large answer
    Then the caller still gets the whole answer and the entry exits with 0

  Scenario: An idle entry uses little memory
    Then the entry's resident memory is under 128 MB
