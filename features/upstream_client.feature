Feature: A call to an upstream is sent once, and its end is told truly

  Scenario Outline: How a call ends
    Given an upstream that <behaviour>
    When a call that is <kind> is sent to it
    Then the call ends as "<end>" and the upstream has read <reads> requests

    Examples:
      | behaviour                       | kind           | end         | reads |
      | answers                         | idempotent     | succeeded   | 1     |
      | answers                         | not idempotent | succeeded   | 1     |
      | closes after it has read        | idempotent     | broken      | 1     |
      | closes after it has read        | not idempotent | broken      | 1     |
      | cuts its answer                 | idempotent     | broken      | 1     |
      | answers without a clear end     | idempotent     | broken      | 1     |
      | answers more than the bound     | idempotent     | broken      | 1     |
      | answers something else than HTTP | idempotent    | broken      | 1     |
      | never answers                   | idempotent     | timed_out   | 1     |
      | is not there                    | not idempotent | unreachable | 0     |

  Scenario: A kept connection that closes after the read is not sent to again
    Given an upstream that answers the first request and then closes after it has read
    When 2 calls that are idempotent are sent to it
    Then the last call ends as "broken" and the upstream has read 2 requests on 1 connections

  Scenario: A call that may not be repeated gets a connection of its own
    Given an upstream that answers
    When 3 calls that are not idempotent are sent to it
    Then the last call ends as "succeeded" and the upstream has read 3 requests on 3 connections

  Scenario: Idempotent calls share a connection
    Given an upstream that answers
    When 3 calls that are idempotent are sent to it
    Then the last call ends as "succeeded" and the upstream has read 3 requests on 1 connections

  Scenario: A call whose ticket has grown old is not sent
    Given an upstream that answers
    When a call is sent after its time to send
    Then the call ends as "unused" and the upstream has read 0 requests

  Scenario: The upstream sees that a call was cancelled
    Given an upstream that never answers
    When a call to it is cancelled
    Then the upstream sees the connection close
