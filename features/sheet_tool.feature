Feature: Changes of the accepted configuration
  A change is accepted once or not at all, even if writes fail.

  Background:
    Given a platform on which lagos.csv is accepted

  Scenario: A plan shows what is added, changed and removed
    When an operator plans the sheet with "breweries,d6" renamed and "writer,3" as "writer,4"
    Then the plan shows
      | change  | section | name       | old      | new      |
      | added   | account | brewers    |          |          |
      | removed | account | breweries  |          |          |
      | changed | targets | model-pool | writer 3 | writer 4 |
    And version 1 is still accepted

  Scenario: A sheet with faults changes nothing
    When an operator applies the sheet with "ikeja,in" as "ikeja,maybe"
    Then the command ends with exit code 3
    And version 1 is still accepted

  Scenario: One of two concurrent operators wins and the other is shown the conflict
    Given another operator takes zone lekki out just before the next write
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code 4
    And its report says "lekki"
    And version 2 is accepted with zone lekki out and writer version 3

  Scenario: A zone change is made on top of another operator's change
    Given another operator takes zone lekki out just before the next write
    When an operator takes zone apapa out
    Then the command ends with exit code 0
    And version 3 is accepted with zone lekki out and writer version 3
    And zone apapa is out

  Scenario: A plan is not applied if another version was accepted since
    Given another operator has taken zone lekki out
    When an operator applies the sheet with "writer,3" as "writer,4" expecting version 1
    Then the command ends with exit code 4
    And version 2 is still accepted

  Scenario: A sheet does not bring back a zone unintentionally
    Given another operator has taken zone lekki out
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code 8
    And version 2 is still accepted

  Scenario Outline: Writes are retried: <faults>
    Given the next writes fail with <faults>
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code <code>
    And version <version> is still accepted

    Examples:
      | faults                               | code | version |
      | answer lost                          | 0    | 2       |
      | request lost                         | 0    | 2       |
      | request lost, answer lost, refused   | 0    | 2       |
      | refused, refused                     | 0    | 2       |
      | answer lost, request lost, refused   | 0    | 2       |

  Scenario: A lost answer is resolved even if a later version has been accepted
    Given the next writes fail with answer lost
    And another operator takes zone lekki out just before the second write
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code 0
    And version 3 is accepted with zone lekki out and writer version 4

  Scenario: Nothing is changed while the table is down
    Given the table is down
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code 5

  Scenario: The outcome is unknown if the table goes down at the write
    Given the table goes down at the next write
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code 6

  Scenario: A corrupting object store is detected before the row is written
    Given the object store corrupts objects from the next write on
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code 5
    And version 1 is still accepted

  Scenario: Applying the accepted sheet creates no new version
    When an operator applies the sheet unchanged
    Then the command ends with exit code 0
    And version 1 is still accepted

  Scenario Outline: Waiting until it is in force: <case>
    Given the entries answer
      | entry   | presence | versions   |
      | entry-1 | live     | <first>    |
      | entry-2 | live     | <second>   |
      | entry-3 | leaving  | 1          |
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code <code>

    Examples:
      | case            | first   | second     | code |
      | at once         | 2       | 2          | 0    |
      | later           | 1 1 2   | 1 silent 3 | 0    |
      | one behind      | 2       | 1          | 7    |
      | one silent      | 2       | silent     | 7    |

  Scenario: A version is handed over to entries even if the platform goes down
    Given the entries answer
      | entry   | presence | versions |
      | entry-1 | live     | 2        |
      | entry-2 | live     | 2        |
      | entry-3 | leaving  | 1        |
    And the platform goes down once the write has taken effect
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code 7
    And the command has handed over entry-1 2, entry-2 2

  Scenario: A version that no entry takes is reported even without waiting
    Given the entries answer
      | entry   | presence | versions |
      | entry-1 | live     | silent   |
    When an operator takes zone apapa out without waiting
    Then the command ends with exit code 7
    And its report says "No entry has taken the version"

  Scenario: Status shows each entry and the orders
    Given the entries answer
      | entry   | presence | versions |
      | entry-1 | live     | 1        |
      | entry-2 | live     | silent   |
    And the lease row of model-pool records 7 of 10 upstreams
    When an operator asks for the status
    Then the command ends with exit code 7
    And its report says "entry-2"
    And its report says "no answer"
    And its report says "model-pool  1        7     10"

  Scenario: A reader that closes the pipe early causes no error
    Then checking a sheet with 9000 faults for a reader of one line ends quietly

  Scenario: Each change is accepted at most once in any schedule of operators and faults
    Then each change is accepted at most once in 200 schedules drawn by hypothesis
