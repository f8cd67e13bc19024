Feature: The runner table, the choice of runners and limits on sending to them
  Decisions on which runners may be used, without an event loop or sockets.

  Scenario Outline: Removal of a registry entry: <case>
    Given the registry is read at 0
    And the runner "r" is registered as <state> at 10
    And the registry is <registry>
    When the entry of "r" is removed at 20
    Then "r" is <at once> at 20
    And "r" is <later> at 22.1

    Examples:
      | case                    | state    | registry                           | at once | later |
      | it deregistered         | ready    | read at 19                         | gone    | gone  |
      | it expired in an outage | ready    | unreachable from 12 and read at 20 | used    | gone  |
      | it drained in an outage | draining | unreachable from 12 and read at 20 | gone    | gone  |

  # Guards against requests to runners that are gone, because each failed call to
  # the registry was taken as an outage in which entries may lapse.
  Scenario Outline: An entry that cannot have lapsed is removed at once: <case>
    Given the registry is read at 0
    And the runner "r" is registered as ready at 10
    And the registry is read at <last read>
    And the registry is unreachable from <from>, with a last call at <last call>, and read at <back>
    When the entry of "r" is removed at <removed>
    Then "r" is <at once> at <removed>
    And "r" is <later> at <end>

    Examples:
      | case                           | last read | from | last call | back | removed | at once | later | end  |
      | one call failed                | 19.8      | 19.9 | 19.9      | 20.2 | 20.3    | gone    | gone  | 20.4 |
      | calls failed for a second      | 19        | 19.1 | 19.9      | 20.2 | 20.3    | gone    | gone  | 20.4 |
      | a long outage                  | 14        | 14.1 | 19.5      | 20   | 20.1    | used    | used  | 21.9 |
      | a long outage, later           | 14        | 14.1 | 19.5      | 20   | 20.1    | used    | gone  | 22.1 |
      | noticed late to be over        | 14        | 14.1 | 18.4      | 20   | 20.1    | used    | used  | 20.9 |
      | noticed late to be over, later | 14        | 14.1 | 18.4      | 20   | 20.1    | used    | gone  | 21.1 |

  # Guards against a grace period that each further failed call prolongs.
  Scenario: Failed calls after an outage do not prolong the use of removed runners
    Given the registry is read at 0
    And the runner "r" is registered as ready at 10
    And the registry is unreachable from 12 and read at 20
    When the entry of "r" is removed at 20
    And the registry is unreachable from 20.5, with a last call at 20.6, and read at 20.9
    And the registry is unreachable from 21.3, with a last call at 21.4, and read at 21.7
    Then "r" is gone at 22.1

  Scenario: A runner that registers again after an outage stays in use
    Given the registry is read at 0
    And the runner "r" is registered as ready at 10
    And the registry is unreachable from 12 and read at 20
    When the entry of "r" is removed at 20
    And the runner "r" is registered as ready at 21
    Then "r" is used at 22.1

  Scenario: Runners of a zone that is restored after an evacuation count as cold
    Given the registry is read at 0
    And the runner "r" is registered as ready at 1
    When the zone "z" is evacuated at 2
    Then "r" is gone at 2
    When the zone "z" is restored at 9 with a cold time of 3 s
    Then "r" is used at 9
    And "r" is cold at 11.9
    And "r" is warm at 12.1

  Scenario: A configuration that is not newer is ignored
    Given the catalog has version 7
    When the catalog is offered version 5
    Then the version of the catalog is 7
    When the catalog is offered version 9
    Then the version of the catalog is 9

  Scenario Outline: The bound of a cold runner holds for all instances together: <case>
    Given a cold runner with a rate of <rate> per second, factor <factor> and slack <slack>
    When <count> instances with <views> views of the membership send all that they may for 5 s
    Then no second has more than <bound> requests, and some second has one

    Examples:
      | case               | rate | factor | slack | count | views | bound |
      | one view           | 13   | 1.5    | 5     | 8     | 1     | 24    |
      | two views at once  | 13   | 1.5    | 5     | 8     | 2     | 24    |
      | a small bound      | 2    | 1.5    | 1     | 30    | 2     | 4     |
      | a single instance  | 13   | 1.5    | 5     | 1     | 1     | 24    |

  Scenario Outline: Runners that fail are avoided: <case>
    Given failures of "r" at <failures>
    Then at <now> "r" is <state> by the choice

    Examples:
      | case                 | failures | state   | now |
      | one, just now        | 1.0      | avoided | 1.5 |
      | one, a while ago     | 1.0      | chosen  | 2.1 |
      | two in a row         | 1.0 2.1  | avoided | 4.0 |
      | two, later           | 1.0 2.1  | chosen  | 4.2 |

  Scenario Outline: A prompt's runner: <case>
    Given runners a, b and c of zone z with <loads> requests
    And the runners <avoided> failed recently
    Then prompts are sent to exactly <chosen> over many keys

    Examples:
      | case                   | loads  | avoided | chosen |
      | one that is overloaded | 0 0 20 | -       | a b    |
      | one that failed        | 0 0 0  | a       | b c    |
      | all failed             | 0 0 0  | a b c   | a b c  |
