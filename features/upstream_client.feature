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

  # Guards against an answer with an invalid status that counts as an answer,
  # and against one that follows it on the connection.
  Scenario Outline: An upstream that answers with the status <status>
    Given an upstream that answers with the status <status>
    When a call that is idempotent is sent to it
    Then the call ends as "<end>" and the upstream has read 1 requests

    Examples:
      | status           | end       |
      | 000              | broken    |
      | 099              | broken    |
      | 600              | broken    |
      | 999              | broken    |
      | 000 and then 200 | broken    |
      | 099 and then 200 | broken    |
      | 101 and then 200 | broken    |
      | 150 and then 200 | broken    |
      | 100 and then 200 | succeeded |
      | 103 and then 200 | succeeded |

  # Guards against a report that is read although an invalid status came first.
  Scenario Outline: A load report with the status <status>
    Given an upstream that answers with the status <status>
    When its load report is read
    Then the report is <state>

    Examples:
      | status           | state   |
      | 200              | read    |
      | 103 and then 200 | read    |
      | 150 and then 200 | missing |
      | 000 and then 200 | missing |
      | 600              | missing |

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
