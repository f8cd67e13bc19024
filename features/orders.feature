Feature: Orders to engines
  One holder at a time orders the engines of a pool, a few at once.

  Scenario: At most one process believes that it holds a lease
    Then 400 schedules of three owners with freezes, lost answers and clocks 1 percent apart keep one holder

  Scenario: Fencing numbers go up with each change of the owner
    Then in 200 of these schedules no fencing number has two owners or goes down

  Scenario: Clocks that run 1 percent apart do not make two holders
    Given owner slow, whose clock runs at 0.995, holds the lease
    Then while owner fast, whose clock runs at 1.005, waits there is one holder

  Scenario: A holder that was frozen while its claim was answered stops in time
    Given owner a is frozen for 4.4 seconds just as its claim has taken effect
    And owner b takes turns meanwhile and after
    When owner a takes a turn
    Then there is one holder all the time

  Scenario: A lease that was given back is taken at once
    Given owner a holds the lease
    When owner a gives it back
    And owner b takes a turn
    Then owner b holds the lease with fencing number 2
    And owner b need not wait for orders of another

  Scenario: A lease that ran out is taken after its whole length unseen
    Given owner a holds the lease
    When owner b takes turns for 3.9 seconds
    Then owner b does not hold the lease
    When owner b takes turns for 0.5 seconds
    Then owner b holds the lease with fencing number 2
    And owner b must wait for orders of another

  Scenario: A claim whose answer was lost is found again
    Given the answer to the next lease write is lost
    When owner a takes a turn
    Then owner a holds the lease with fencing number 1

  Scenario: A renewal keeps the fencing number
    Given owner a holds the lease
    When owner a takes turns for 20 seconds
    Then owner a holds the lease with fencing number 1

  Scenario: A table that is down ends the lease in time
    Given owner a holds the lease
    And the lease table is down
    When owner a takes turns for 3.9 seconds
    Then owner a does not hold the lease

  Scenario Outline: The planner orders: <case>
    Given engines of a pool
      | name | held          | zone   | running   | paused   |
      | e1   | <e1>          | in     | no        | no       |
      | e2   | <e2>          | in     | no        | no       |
      | e3   | <e3>          | in     | <running> | no       |
      | e4   | <e4>          | <zone> | no        | <paused> |
    Then with at most <most> at once the planner chooses <chosen>

    Examples:
      | case                        | e1  | e2   | e3   | e4   | running | zone | paused | most | chosen   |
      | nothing differs             | new | new  | new  | new  | no      | in   | no     | 3    | nothing  |
      | one of four that serve      | old | old  | old  | old  | no      | in   | no     | 3    | e1       |
      | none while one is in work   | old | old  | old  | old  | yes     | in   | no     | 3    | nothing  |
      | idle ones first             | old | none | old  | none | no      | in   | no     | 3    | e2 e4 e1 |
      | a bound on all              | none | none | none | none | no     | in   | no     | 2    | e1 e2    |
      | a zone that is out first    | old | old  | old  | old  | no      | out  | no     | 3    | e4 e1    |
      | not one that does not answer | silent | new | new | new | no     | in   | no     | 3    | nothing  |
      | not the last that serves    | old | silent | silent | silent | no | in   | no     | 3    | nothing  |
      | not one that just failed    | new | new  | new  | old  | no      | in   | yes    | 3    | nothing  |

  Scenario: A weight store that asks to come back holds all orders
    Given engines of a pool
      | name | held | zone | running | paused |
      | e1   | none | in   | no      | no     |
      | e2   | none | in   | no      | no     |
    When the order to e1 fails with a time to come back of 5 seconds
    Then for 5 seconds the planner chooses nothing
    And then it chooses e1 e2

  Scenario: A pool is never taken out whole, whatever the engines do
    Then 300 histories of a pool drawn by hypothesis keep an engine serving

  Scenario: A pool comes into line
    Given a pool of 8 engines that hold the old models
    When its holder works for 20 seconds
    Then all engines hold the target
    And at most 2 engines were ordered at once
    And each engine had 1 order

  Scenario: A holder that is behind never orders what a later sheet replaced
    Given a pool of 4 engines that hold the old models
    And an earlier holder has ordered version 9
    When its holder works for 10 seconds
    Then no engine had an order

  Scenario: Engines that do not check fencing wait out the last holder's orders
    Given a pool of 4 engines that hold the old models and do not check fencing
    And an earlier holder has crashed with the lease
    When its holder works for 12 seconds
    Then no engine had an order
    When its holder works for 30 seconds
    Then all engines hold the target

  Scenario: A lease that ends between connect and send sends nothing
    Given an engine on a real port
    When an order is sent whose lease ends while it connects
    Then the order ends as lease_not_held
    And the engine has read no order

  Scenario: An engine that refuses an old fencing number is told apart
    Given an engine on a real port
    When it refuses an order as old
    Then the order ends as lease_not_held

  Scenario: Candidates spread the leases over a fleet
    Then of 100 instances 3 compete for each of 8 pools, and each change of one moves few
