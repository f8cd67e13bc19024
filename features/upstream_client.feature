Feature: A call to an upstream is sent once, and its end is reported correctly

  Scenario Outline: How a call ends
    Given an upstream that <behaviour>
    When a call that is <kind> is sent to it
    Then the call ends as "<end>" and the upstream has read <reads> requests

    Examples:
      | behaviour                        | kind           | end         | reads |
      | answers                          | idempotent     | succeeded   | 1     |
      | answers                          | not idempotent | succeeded   | 1     |
      | closes after the read            | idempotent     | broken      | 1     |
      | closes after the read            | not idempotent | broken      | 1     |
      | truncates its answer             | idempotent     | broken      | 1     |
      | answers without a delimited body | idempotent     | broken      | 1     |
      | answers beyond the size bound    | idempotent     | broken      | 1     |
      | answers with invalid HTTP        | idempotent     | broken      | 1     |
      | never answers                    | idempotent     | timed_out   | 1     |
      | is not listening                 | not idempotent | unreachable | 0     |

  Scenario: A call is not sent again when a reused connection closes after the read
    Given an upstream that answers the first request and then closes after the read
    When 2 calls that are idempotent are sent to it
    Then the last call ends as "broken" and the upstream has read 2 requests on 1 connections

  Scenario: Each non-idempotent call gets a connection of its own
    Given an upstream that answers
    When 3 calls that are not idempotent are sent to it
    Then the last call ends as "succeeded" and the upstream has read 3 requests on 3 connections

  Scenario: Idempotent calls share a connection
    Given an upstream that answers
    When 3 calls that are idempotent are sent to it
    Then the last call ends as "succeeded" and the upstream has read 3 requests on 1 connections

  Scenario: A call is not sent after its send deadline
    Given an upstream that answers
    When a call is sent after its send deadline
    Then the call ends as "unused" and the upstream has read 0 requests

  Scenario: Cancelling a call closes its connection
    Given an upstream that never answers
    When a call to it is cancelled
    Then the upstream sees the connection close
