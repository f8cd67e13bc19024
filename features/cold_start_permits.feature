Feature: A cold upstream gets no more calls than its limit

  Several entries, each with its own clock, run the real routing core in
  virtual time. The simulated upstream counts its running calls. After it has
  turned cold, it may be sent calls as if it were warm only until the proofs of
  its last warm phase have expired.

  Scenario: No schedule of faults overloads a cold upstream
    Then in 50 cold-start schedules of 4 entries the upstream sees no overload

  Scenario Outline: Each guard is needed: without the <guard> the upstream is overloaded
    Given the cold-start faults
      | kind   | start   | length   | entry   |
      | <kind> | <start> | <length> | <entry> |
    And the upstream turns cold at <turns> seconds
    And gossip is cut at <cut> seconds for 8 seconds
    When 12 cold-start simulations of 4 entries run without the <guard>
    Then the upstream sees an overload in some cold-start simulation
    When 12 cold-start simulations of 4 entries run with every guard
    Then the upstream sees an overload in no cold-start simulation

    Examples:
      | guard                | kind      | start | length | entry | turns       | cut  |
      | lease                | freeze    | 20    | 1      | 0     | 24          | 55   |
      | lease's deadline     | cut_table | 8     | 45     | 1     | 11,20,29,38 | 55   |
      | bound on other calls | freeze    | 20    | 1      | 0     | 24          | 55   |
      | count of loans       | freeze    | 20    | 1      | 0     | 8,17,26     | 55   |
      | expiry of proofs     | freeze    | 20    | 11     | 0     | 24          | 23.9 |
      | detection of pauses  | freeze    | 20    | 11     | 0     | 24          | 23.9 |

  Scenario: Warm upstreams stay in use without the table
    Given the cold-start faults
      | kind   | start | length | entry |
      | outage | 20    | 40     | -1    |
    When 5 cold-start simulations of 4 entries run with every guard
    Then the upstream took warm calls in the last 10 seconds of each cold-start simulation

  Scenario: A cold upstream gets no calls without the table
    Given the cold-start faults
      | kind   | start | length | entry |
      | outage | 0     | 60     | -1    |
    And the upstream turns cold at 5,16,27,38,49 seconds
    When 5 cold-start simulations of 4 entries run with every guard
    Then the upstream took no cold call in any cold-start simulation

  Scenario: A cold upstream gets calls under a lease
    Given the cold-start faults
      | kind   | start | length | entry |
      | freeze | 30    | 2      | 0     |
    And the upstream turns cold at 8,17,26,35,44,53 seconds
    When 5 cold-start simulations of 4 entries run with every guard
    Then the upstream took at least 20 cold calls in each cold-start simulation
    And the upstream took borrowed cold calls in each cold-start simulation
