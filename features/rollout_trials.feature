Feature: Rollouts end right with real gateways
  Seeded rollouts with 8 gateway processes, judged by what the stand-ins of
  runners and of the store saw.

  Scenario Outline: A runner of a bad version answers as declared: <case>
    Given a runner whose version <fault>, with the load 3 and the route "<route>"
    When 4 requests are sent to each of the routes "safe" and "unsafe"
    Then <bad> of them are bad, and the runner has counted as many

    Examples:
      | case               | fault                 | route  | bad |
      | status 500         | fails                 |        | 6   |
      | closed connections | cuts                  |        | 6   |
      | slow               | slow                  |        | 6   |
      | on one route       | fails                 | unsafe | 4   |
      | later              | fails after 60 s      |        | 0   |
      | a good version     | has no fault          |        | 0   |

  Scenario: The stand-in of the store refuses writes to the operator's rows
    Given a store for rollouts
    Then writes to "op" and "servers" get 403, others are applied together

  Scenario: The stand-in of the platform stops and drains runners
    Given a store for rollouts
    And a platform with runners of "v1", "v2" and "v3"
    When the status is "rolled_back" to "v3"
    Then the runners become "v1 ready, v2 ready, v3 draining"
    And the runners become "v1 ready, v2 ready"
    When the status is "completed" to "v2"
    Then the runners become "v2 ready"

  # Guards against checks that find nothing.
  Scenario: The checks find a bad version that is not rolled back
    Given gateways without the settings of rollouts
    When the rollout 1 of the kind "fails" runs for 12 s with the fault "none"
    Then it has violations
      | violation                                |
      | too many requests to the version         |
      | requests long after the 50th bad response |
      | not rolled_back                          |

  # Guards against wrong verdicts, and against exposure of bad versions.
  Scenario Outline: A rollout ends right: <kind>, <fault>
    When the rollout <seed> of the kind "<kind>" runs for <time> s with the fault "<fault>"
    Then it has no violations

    Examples:
      | kind             | fault     | seed | time |
      | good             | none      | 1    | 12   |
      | good             | kill      | 2    | 20   |
      | fails            | kill      | 3    | 12   |
      | fails later      | cut peers | 4    | 14   |
      | slow on a route  | outage    | 5    | 14   |
      | slow under load  | cut store | 6    | 14   |
