Feature: A cold upstream is given no more work than it bears

  Several entries, with clocks of their own, drive the product's decisions in
  virtual time. The simulated upstream is the witness: it counts the work
  inside it. It may be sent work as warm only until the proofs of its last
  warm phase have run out.

  Scenario: No schedule of faults overloads a cold upstream
    Then in 50 cold-start schedules of 4 entries the upstream sees no overload

  Scenario Outline: Each guard is needed: without the <guard> it is overloaded
    Given the cold-start faults
      | kind   | start   | length   | entry   |
      | <kind> | <start> | <length> | <entry> |
    And the upstream turns cold at <turns> seconds
    And gossip is cut at <cut> seconds for 8 seconds
    When 12 cold-start runs of 4 entries go without the <guard>
    Then the upstream sees an overload in some cold-start runs
    When 12 cold-start runs of 4 entries go with every guard
    Then the upstream sees an overload in no cold-start run

    Examples:
      | guard                | kind      | start | length | entry | turns       | cut  |
      | lease                | freeze    | 20    | 1      | 0     | 24          | 55   |
      | lease's deadline     | cut_table | 8     | 45     | 1     | 11,20,29,38 | 55   |
      | bound on work inside | freeze    | 20    | 1      | 0     | 24          | 55   |
      | count of loans       | freeze    | 20    | 1      | 0     | 8,17,26     | 55   |
      | proof's age          | freeze    | 20    | 11     | 0     | 24          | 23.9 |
      | notice of a pause    | freeze    | 20    | 11     | 0     | 24          | 23.9 |

  Scenario: Warm service goes on without the table
    Given the cold-start faults
      | kind   | start | length | entry |
      | outage | 20    | 40     | -1    |
    When 5 cold-start runs of 4 entries go with every guard
    Then the upstream took warm calls in the last 10 seconds of each cold-start run

  Scenario: Without the table a cold upstream waits
    Given the cold-start faults
      | kind   | start | length | entry |
      | outage | 0     | 60     | -1    |
    And the upstream turns cold at 5,16,27,38,49 seconds
    When 5 cold-start runs of 4 entries go with every guard
    Then the upstream took no cold call in any cold-start run

  Scenario: A cold upstream does get work under a lease
    Given the cold-start faults
      | kind   | start | length | entry |
      | freeze | 30    | 2      | 0     |
    And the upstream turns cold at 8,17,26,35,44,53 seconds
    When 5 cold-start runs of 4 entries go with every guard
    Then the upstream took at least 20 cold calls in each cold-start run
    And the upstream took borrowed cold calls in each cold-start run
