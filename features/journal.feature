Feature: A non-idempotent request runs at most once

  Hypothesis draws schedules of requests, entry crashes and table faults
  (delays, conflicts and lost answers) from a fixed seed.

  Scenario: Under all table faults, no key runs twice and "not run" is true
    Given a journal with all its guards
    When 300 schedules of at-most-once requests are run
    Then no schedule violates an invariant

  Scenario Outline: The check detects a journal without one of its guards
    Given a journal that <fault>
    When 300 schedules of at-most-once requests are run
    Then a schedule violates the invariant "<invariant>"

    Examples:
      | fault                                        | invariant             |
      | takes over open rows                         | runs at most once     |
      | sends when the answer to a write is lost     | runs at most once     |
      | reports an unknown outcome as not run        | not run is true       |
      | ignores whether the request of a key differs | same key, same answer |

  Scenario: A crash between intent and outcome leaves the outcome unknown
    Given a journal with all its guards
    When an entry crashes after its intent and another gets the same key
    Then the other reports that it is unknown whether the request ran

  Scenario: The group commit resends the writes that did not conflict
    Given 5 writes in one transaction
    When the table reports that 2 of them conflict
    Then the other 3 are in the next transaction

  Scenario: A large answer is returned intact by any entry
    Given a journal with all its guards
    When an answer of 100000 bytes is recorded at one entry
    Then another entry returns the same answer for the same key

  Scenario: Rows past their retention time are swept, including open ones
    Given a journal with rows of these ages
      | state   | age_s | kept |
      | done    | 10    | yes  |
      | done    | 90000 | no   |
      | not_run | 90000 | no   |
      | open    | 90000 | no   |
      | open    | 80000 | yes  |
    When the sweeper has scanned the journal
    Then only the rows to be kept remain
