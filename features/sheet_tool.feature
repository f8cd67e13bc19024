Feature: Changes of the accepted configuration
  A change is accepted once or not at all, whatever befalls its writes.

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

  Scenario: Two operators at once: one wins, the other is told
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

  Scenario: A plan that was overtaken is not applied
    Given another operator has taken zone lekki out
    When an operator applies the sheet with "writer,3" as "writer,4" expecting version 1
    Then the command ends with exit code 4
    And version 2 is still accepted

  Scenario: A sheet does not bring back a zone by accident
    Given another operator has taken zone lekki out
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code 8
    And version 2 is still accepted

  Scenario Outline: Faults of the write: <faults>
    Given the next writes meet <faults>
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

  Scenario: A lost answer is settled also when later versions have overtaken it
    Given the next writes meet answer lost
    And another operator takes zone lekki out just before the second write
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code 0
    And version 3 is accepted with zone lekki out and writer version 4

  Scenario: A table that is down changes nothing
    Given the table is down
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code 5

  Scenario: A table that goes down at the write leaves it unknown
    Given the table goes down at the next write
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code 6

  Scenario: An object store that gives back other bytes is found before the write
    Given the object store corrupts what it holds from the next write on
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code 5
    And version 1 is still accepted

  Scenario: Applying what is accepted already makes no version
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

  Scenario: A version whose platform goes down at once is handed to entries
    Given the entries answer
      | entry   | presence | versions |
      | entry-1 | live     | 2        |
      | entry-2 | live     | 2        |
      | entry-3 | leaving  | 1        |
    And the platform goes down once the write has taken effect
    When an operator applies the sheet with "writer,3" as "writer,4"
    Then the command ends with exit code 7
    And the command has handed over entry-1 2, entry-2 2

  Scenario: A version that no entry takes is told, also without waiting
    Given the entries answer
      | entry   | presence | versions |
      | entry-1 | live     | silent   |
    When an operator takes zone apapa out without waiting
    Then the command ends with exit code 7
    And its report says "No entry has taken it"

  Scenario: Status shows each entry and the orders
    Given the entries answer
      | entry   | presence | versions |
      | entry-1 | live     | 1        |
      | entry-2 | live     | silent   |
    And the lease of model-pool tells of 7 of 10 upstreams
    When an operator asks for the status
    Then the command ends with exit code 7
    And its report says "entry-2"
    And its report says "no answer"
    And its report says "model-pool  1        7     10"

  Scenario: A reader that closes early is no failure
    Then checking a sheet with 9000 faults for a reader of one line ends quietly

  Scenario: Any schedule of operators and faults accepts each change once at most
    Then 200 schedules of operators drawn by hypothesis keep the promise
