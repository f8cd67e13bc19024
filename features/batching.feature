Feature: One instance batches for a group of runners
  Instances that start, leave or are lost, and runners that are full. A runner
  takes one call at a time, of 0.2 s and more, and two waiting ones.

  # Guards against a process that has just started and batches for all groups,
  # as it knows no peer yet.
  Scenario: A starting instance orders from the listed ones
    Given 6 instances that batch for 5 runners
    When an instance starts that has heard of nobody
    And it orders 2 pieces of the group stage#0
    Then all pieces are made
    And it has called no runner itself

  # Guards against a leaving process that batches on while others have moved to
  # the next instance.
  Scenario: A leaving instance orders from the next one
    Given 6 instances that batch for 5 runners
    When the batching instance of the group stage#0 begins its shutdown
    And it orders 2 pieces of the group stage#0
    Then all pieces are made
    And it has called no runner itself

  # Guards against two batching instances while a shutdown lasts.
  Scenario: A leaving instance hands back the pieces that wait
    Given 6 instances that batch for 1 runner
    When all instances order 10 pieces of the group stage#0
    And its batching instance begins its shutdown after 0.1 s
    Then all pieces are made
    And the leaving instance has called a runner once

  # Guards against all instances calling the same runners by themselves.
  Scenario: Orders of a lost instance are made by the next one
    Given 6 instances that batch for 5 runners
    When all instances order 10 pieces of the group stage#0
    And its batching instance is killed after 0.1 s
    Then all pieces of the others are made
    And 1 other instance has called runners

  # Guards against orders that all wait for an instance that is frozen, and
  # against a second batching instance beside one that is only slow.
  Scenario Outline: An order times out at an instance that is <state>
    Given 6 instances that batch for 5 runners
    When the batching instance of the group stage#0 answers no order and is <state>
    And another instance orders 2 pieces for 0.3 s, and then 2 more for 3 s
    Then the later pieces are <outcome>

    Examples:
      | state  | outcome                     |
      | silent | made by the next instance   |
      | heard  | ordered there again         |

  # Guards against a refused call that is repeated while the call ahead of it
  # takes 0.2 s and more.
  Scenario: A full runner is not called again before its call can have ended
    Given 1 instance that batches for 1 runner
    When others occupy the runner with 3 calls
    And it orders 2 pieces of the group stage#0
    Then all pieces are made
    And at most 2 calls were refused

  # Guards against refusals that grow with the instances that stop and start.
  Scenario: Instances are stopped and started in turn
    Given 8 instances that batch for 2 runners
    When each is stopped and started in turn, one each 0.2 s, with shutdowns of 0.8 s
    Then all pieces are made
    And at most 2 percent of the calls were refused

  # Guards against instances that each go on to call the runners for themselves
  # after all have started together, as after a loss of power.
  Scenario: Instances that start together agree on one of them
    Given 8 instances that batch for 2 runners
    When all start together, order 30 pieces each and hear of each other after 0.8 s
    Then all pieces are made
    And from 0.1 s after they have heard of each other 1 instance calls runners

  # Guards against groups that are batched for by small machines, and against
  # instances that disagree on who batches.
  Scenario: Groups are batched for by the larger machines
    Given 12 instances that batch for 5 runners, of which 2 have large machines
    Then each instance chooses a large one for each of 8 groups, and all the same
    When the large machines are lost
    Then each other instance chooses a small one for each of 8 groups, and all the same
