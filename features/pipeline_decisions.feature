Feature: Decisions on the request path

  Scenario Outline: Whether a call that is <kind> is retried after it ended <end>
    Given a call that is <kind> with <sent> attempts sent and <left_s> s left
    When it ended <end>
    Then the retry decision is "<decision>" and a final failure says "<ran>"

    Examples:
      | kind           | sent | left_s | end         | decision         | ran     |
      | idempotent     | 1    | 1      | broken      | repeat_on_budget | unknown |
      | idempotent     | 1    | 1      | failed      | repeat_on_budget | unknown |
      | idempotent     | 1    | 1      | timed_out   | repeat_on_budget | unknown |
      | idempotent     | 1    | 1      | mismatched  | repeat_on_budget | unknown |
      | idempotent     | 1    | 1      | refused     | give_up          | unknown |
      | idempotent     | 3    | 1      | broken      | give_up          | unknown |
      | idempotent     | 1    | 0.01   | broken      | give_up          | unknown |
      | idempotent     | 1    | 1      | overloaded  | repeat_on_budget | no      |
      | idempotent     | 0    | 1      | unreachable | repeat_unsent    | no      |
      | not idempotent | 1    | 1      | broken      | give_up          | unknown |
      | not idempotent | 1    | 1      | failed      | give_up          | unknown |
      | not idempotent | 1    | 1      | timed_out   | give_up          | unknown |
      | not idempotent | 1    | 1      | mismatched  | give_up          | unknown |
      | not idempotent | 1    | 1      | overloaded  | repeat_on_budget | no      |
      | not idempotent | 0    | 1      | unreachable | repeat_unsent    | no      |
      | not idempotent | 0    | 1      | unused      | repeat_unsent    | no      |

  Scenario: Retries are a share of first attempts
    Given a retry budget of 0.1 with a burst of 2
    When 2 retries are spent
    Then no further retry is allowed before 10 first attempts

  Scenario: A deadline that fast runs of all stages cannot meet is refused at once
    Given stages whose runs took these seconds, 50 times each
      | stage    | seconds |
      | encode   | 0.1     |
      | generate | 0.4     |
    Then a request with 0.4 s left is refused as "deadline_too_short"
    And a request with 0.6 s left has until 0.2 s for its first stage
    And after 60 s without a run a request with 0.4 s left is accepted

  Scenario: Event parsing does not depend on how the stream is split
    Given a stream of 20 token events
    When it arrives in chunks split at positions drawn by hypothesis
    Then every split gives the same 20 events

  Scenario Outline: Only calls to the pool's listed paths may be repeated
    Given a pool whose idempotent paths are "/v1/read,/stock/"
    Then a call to "<path>" is <kind>

    Examples:
      | path               | kind           |
      | /v1/read           | idempotent     |
      | /v1/read/7         | idempotent     |
      | /stock             | idempotent     |
      | /v1/readings       | not idempotent |
      | /v1/submit         | not idempotent |
      | /v1/read/../submit | not idempotent |
      | /v1/read/%2e%2e/x  | not idempotent |
      | /v1/read//x        | not idempotent |
