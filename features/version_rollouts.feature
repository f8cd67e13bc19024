Feature: Decisions on rollouts of a service version
  Gates, evidence, phases and coordinators of several instances decide in
  virtual time on simulated requests.

  # Guards against bad versions that stay in use, or get too many requests.
  Scenario Outline: A bad version is rolled back: <fault>
    Given 8 instances, 250 requests a second and 20 s for the rollout
    And a version of which <share> of the responses <how>
    And it is bad <when>
    When 3 seeded rollouts are played
    Then all of them are rolled back
    And no rollout exceeds the exposure
    And requests end 5 s after the 50th bad response

    Examples:
      | fault                    | share | how     | when              |
      | failures                 | 0.3   | fails   | always            |
      | broken connections       | 0.3   | breaks  | always            |
      | only broken connections  | 1     | breaks  | always            |
      | slow responses           | 0.4   | is slow | always            |
      | few failures             | 0.12  | fails   | always            |
      | failures in the middle   | 0.3   | fails   | from 10 s on      |
      | late failures            | 0.3   | fails   | from 14 s on      |
      | failures of one route    | 0.3   | fails   | on the route long |
      | slow under load          | 0.5   | is slow | under load        |

  # Guards against a switch that uses more than the exposure (KNOWN-RED.txt).
  Scenario: A version that turns bad after the switch keeps the exposure
    Given 4 instances, 60 requests a second and 12 s for the rollout
    And a version of which 0.3 of the responses fails
    And it is bad from 9 s on
    When 20 seeded rollouts are played
    Then all of them are rolled back
    And no rollout exceeds the exposure

  # Guards against rollbacks of good versions for bursts, crashes and slow zones.
  Scenario: Good versions are completed
    When 1000 seeded good rollouts are played under bursts, crashes and slow zones
    Then all of them are completed
    And no request that must not be repeated is cut

  # Guards against shares that are only right while instances see each other.
  Scenario Outline: The exposure holds with <trouble>
    Given 8 instances, 250 requests a second and 20 s for the rollout
    And a version of which <share> of the responses fails
    And <trouble>
    When 3 seeded rollouts are played
    Then no rollout exceeds the exposure
    And all of them are rolled back

    Examples:
      | trouble                                | share |
      | instances that cannot see each other   | 0.3   |
      | instances that see half of the others  | 0.3   |
      | instances that are killed in turn      | 0.3   |
      | instances that freeze for a while      | 0.3   |
      | a store that is away from 4 to 12 s    | 0.3   |
      | half of the instances without a store  | 0.3   |

  # Guards against trouble of the instances that is blamed on the version.
  Scenario Outline: A good version is completed with <trouble>
    Given 8 instances, 120 requests a second and 20 s for the rollout
    And <trouble>
    When 3 seeded rollouts are played
    Then all of them are completed

    Examples:
      | trouble                                |
      | instances that see half of the others  |
      | instances that are killed in turn      |
      | instances that freeze for a while      |
      | a store that is away from 4 to 12 s    |
      | new runners that appear after 6 s      |

  # Guards against a rollout that waits for runners for ever.
  Scenario: A version without runners is rolled back at the deadline
    Given 4 instances, 60 requests a second and 12 s for the rollout
    And new runners that appear after 60 s
    When 2 seeded rollouts are played
    Then all of them are rolled back
    And the new version got no request

  # Guards against starting values that add up to more than the slack.
  Scenario Outline: The first canaries of <instances> instances stay below half of the slack
    When <instances> instances take all their starting credit on <routes> routes
    Then they have sent at most 25 canaries

    Examples:
      | instances | routes |
      | 6         | 1      |
      | 40        | 5      |
      | 195       | 8      |

  # Guards against restarts that use the slack again and again.
  Scenario: A process that starts during a rollout has no starting credit
    When 8 instances that start late take all their starting credit on 3 routes
    Then they have sent at most 0 canaries

  # Guards against retries that raise the exposure beyond the sampled share.
  Scenario: Retries go to the old version
    Given 4 instances, 60 requests a second and 12 s for the rollout
    When a rollout is played until 8 s
    Then no instance selects a new runner for 1000 retries
    And some instance selects a new runner for 1000 first requests

  # Guards against a version that is used without the state being known.
  Scenario: Nothing is sent to a version whose state was not confirmed for 2 s
    Given 4 instances, 60 requests a second and 12 s for the rollout
    And a store that is away from 5 to 30 s
    When a rollout is played until 9 s
    Then the last request to the new version was sent before 7.2 s

  # Guards against a restored store that brings a rolled back version into use.
  Scenario: A version stays rolled back when the store is restored
    Given 4 instances, 120 requests a second and 20 s for the rollout
    And a version of which 0.5 of the responses fails
    When a rollout is played until 5 s
    And the store is restored at 12 s to its copy of 5 s
    Then all of them are rolled back
    And the last request to the new version was sent before 12 s

  # Guards against a withdrawn order whose version stays in use.
  Scenario: An order that is removed is rolled back
    Given 4 instances, 60 requests a second and 12 s for the rollout
    When a rollout is played until 8 s
    And the order is removed and 5 s pass
    Then all of them are rolled back
