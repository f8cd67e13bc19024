Feature: Instances share the retry slack, whichever of them see each other
  All requests fail at all runners and may be sent three times. The bound is 0.2
  of the requests plus 56 in any 10 s, over all instances.

  # Guards against instances that take the shares of those that they do not see,
  # while these keep them.
  Scenario Outline: Repeats stay within the bound: <view>, <per_s> a second
    Given 8 instances that see <view>, and <per_s> failing requests a second
    When they run for 60 s
    Then no window has more repeats than allowed
    And at least <used> of the slack was used in some window

    Examples:
      | view                | per_s | used |
      | all                 | 40    | 0.3  |
      | all                 | 10    | 0.3  |
      | halves              | 40    | 0.3  |
      | halves              | 10    | 0.3  |
      | none                | 40    | 0.3  |
      | none                | 10    | 0.3  |
      | from 20 s on halves | 10    | 0.3  |
      | from 20 s on none   | 10    | 0.3  |
      | from 20 s on one alone | 10 | 0.3  |

  # Guards against processes that use, after a start, the share that the one
  # before them has just used.
  Scenario Outline: Repeats stay within the bound when processes start: <count>, <times> times
    Given 8 instances that see <view>, and <per_s> failing requests a second
    When they run for 30 s
    And <count> of them are killed and start again, <times> times, each 1 s
    And they run for 20 s
    Then no window has more repeats than allowed

    Examples:
      | count | times | view | per_s |
      | 1     | 8     | all  | 40    |
      | 1     | 8     | all  | 10    |
      | 8     | 1     | all  | 10    |
      | 8     | 4     | all  | 10    |
      | 8     | 4     | none | 10    |

  Scenario: Repeats stay within the bound without a list of instances
    Given 8 instances that see none, and 10 failing requests a second
    And a store that cannot be read
    When they run for 60 s
    Then no window has more repeats than allowed
