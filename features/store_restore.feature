Feature: A store that is restored from a copy undoes nothing that is known
  The store may come back from a copy some seconds old. It then assigns the
  versions since the copy again, and the operator and the runners write their
  rows again.

  Scenario: What was known holds through restores, and the writers win in the end
    When 150 seeded histories with restores are played
    Then no history violates a promise

  Scenario Outline: The promises do not hold without <guard>
    Given followers without <guard>
    When 150 seeded histories with restores are played
    Then some history violates a promise

    Examples:
      | guard                              |
      | the era of answers                 |
      | the time to write rows again       |
      | the memory of runners that leave   |

  Scenario Outline: What a gateway knew stays good after a restore: <case>
    Given a site with a runner of each service
    And a copy of the store
    And <change>
    When the store is restored from its copy
    And a caller sends GET /safe/one with the key "key-1"
    Then the answer is <status>

    Examples:
      | case                 | change                                         | status |
      | a revoked key        | a configuration with another key is applied    | 401    |
      | a draining runner    | the entry of "plain-1" has the state draining  | 503    |
      | an evacuated zone    | the zone "zone-1" is evacuated                 | 503    |

  Scenario: Versions that are assigned again hide no change
    Given a site with a runner of each service
    And a copy of the store
    And 3 further versions of the store
    When the store is restored from its copy, with 5 versions assigned again
    And the runner "plain-2" is registered within the first of them
    Then the gateway uses the runner "plain-2"

  Scenario: A gateway writes its own row again
    Given a site with a runner of each service
    And a copy of the store without its row
    When the store is restored from its copy
    Then the row of the gateway is in the store within 8 s

  Scenario: Answers of an older era are dropped
    Given a store of era 3 whose first answer is of era 3 and later ones of era 2
    Then a second read of a table fails and a third of era 3 succeeds
