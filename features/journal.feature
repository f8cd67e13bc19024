Feature: A non-idempotent request runs at most once

  Schedules of callers, entries and a table that delays, conflicts and loses
  answers are drawn by hypothesis from a fixed seed.

  Scenario: Whatever the table does, no key runs twice and "not run" is true
    Given a journal as the entries have it
    When 300 schedules of at-most-once requests are run
    Then no schedule breaks a promise

  Scenario Outline: The check notices a journal without its guard
    Given a journal that <fault>
    When 300 schedules of at-most-once requests are run
    Then a schedule breaks the promise "<promise>"

    Examples:
      | fault                                     | promise               |
      | takes over open rows                      | runs at most once     |
      | sends when the answer of a write is lost  | runs at most once     |
      | says not run of an unknown outcome        | not run is true       |
      | answers a key whatever its request was    | same key, same answer |

  Scenario: A crash between intent and outcome leaves the outcome unknown
    Given a journal as the entries have it
    When an entry dies after its intent and another gets the same key
    Then the other says that it is unknown whether the request ran

  Scenario: The group commit sends what did not conflict again
    Given 5 writes in one transaction
    When the table says that 2 of them conflict
    Then the other 3 are in the next transaction

  Scenario: A large answer comes back whole from any entry
    Given a journal as the entries have it
    When an answer of 100000 bytes is recorded at one entry
    Then another entry gives the same answer to the same key

  Scenario: Rows past their time are swept, open ones too
    Given a journal with rows of these ages
      | state   | age_s | kept |
      | done    | 10    | yes  |
      | done    | 90000 | no   |
      | not_run | 90000 | no   |
      | open    | 90000 | no   |
      | open    | 80000 | yes  |
    When the sweeper has gone through the journal
    Then only the rows to be kept are left
