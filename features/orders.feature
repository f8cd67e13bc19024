Feature: Orders to engines
  One holder at a time sends orders to the engines of a pool, a few at once.

  Scenario: At most one process believes that it holds a lease
    Then 400 random schedules of three owners with freezes, lost responses and clocks 1 percent apart have at most one holder

  Scenario: Fencing numbers increase with each change of the owner
    Then in 200 such schedules no fencing number has two owners or decreases

  Scenario: Clocks that run 1 percent apart do not lead to two holders
    Given owner slow, whose clock runs at 0.995, holds the lease
    Then there is one holder while owner fast, whose clock runs at 1.005, waits

  Scenario: A holder that is frozen before the response to its claim stops in time
    Given owner a is frozen for 4.4 seconds right after its claim takes effect
    And owner b runs meanwhile and afterwards
    When owner a runs once
    Then there is at most one holder at any time

  Scenario: A released lease is acquired at once
    Given owner a holds the lease
    When owner a releases the lease
    And owner b runs once
    Then owner b holds the lease with fencing number 2
    And owner b need not wait for orders of an earlier holder

  Scenario: A lease is acquired after its row was unchanged for the full duration
    Given owner a holds the lease
    When owner b runs for 3.9 seconds
    Then owner b does not hold the lease
    When owner b runs for 0.5 seconds
    Then owner b holds the lease with fencing number 2
    And owner b must wait for orders of an earlier holder

  Scenario: A claim whose response was lost is recognized
    Given the response to the next lease write is lost
    When owner a runs once
    Then owner a holds the lease with fencing number 1

  Scenario: A renewal keeps the fencing number
    Given owner a holds the lease
    When owner a runs for 20 seconds
    Then owner a holds the lease with fencing number 1

  Scenario: A lease expires in time while the table is down
    Given owner a holds the lease
    And the lease table is down
    When owner a runs for 3.9 seconds
    Then owner a does not hold the lease

  Scenario Outline: The planner chooses engines: <case>
    Given engines of a pool
      | name | held          | zone   | running   | paused   |
      | e1   | <e1>          | in     | no        | no       |
      | e2   | <e2>          | in     | no        | no       |
      | e3   | <e3>          | in     | <running> | no       |
      | e4   | <e4>          | <zone> | no        | <paused> |
    Then with at most <most> concurrent orders the planner chooses <chosen>

    Examples:
      | case                        | e1          | e2          | e3          | e4          | running | zone | paused | most | chosen   |
      | nothing differs             | new         | new         | new         | new         | no      | in   | no     | 3    | nothing  |
      | one of four serving         | old         | old         | old         | old         | no      | in   | no     | 3    | e1       |
      | none with one in flight     | old         | old         | old         | old         | yes     | in   | no     | 3    | nothing  |
      | idle engines first          | old         | none        | old         | none        | no      | in   | no     | 3    | e2 e4 e1 |
      | limit on all orders         | none        | none        | none        | none        | no      | in   | no     | 2    | e1 e2    |
      | zone that is out first      | old         | old         | old         | old         | no      | out  | no     | 3    | e4 e1    |
      | no unreachable engine       | unreachable | new         | new         | new         | no      | in   | no     | 3    | nothing  |
      | not the last serving engine | old         | unreachable | unreachable | unreachable | no      | in   | no     | 3    | nothing  |
      | no engine in backoff        | new         | new         | new         | old         | no      | in   | yes    | 3    | nothing  |

  Scenario: Retry-After from an overloaded weight store pauses all orders
    Given engines of a pool
      | name | held | zone | running | paused |
      | e1   | none | in   | no      | no     |
      | e2   | none | in   | no      | no     |
    When the order to e1 fails with Retry-After 5
    Then for 5 seconds the planner chooses nothing
    And then it chooses e1 e2

  Scenario: A pool always keeps a serving engine, in any history
    Then 300 random histories of a pool keep an engine serving

  Scenario: A pool converges to its target
    Given a pool of 8 engines with the old models
    When its holder runs for 20 seconds
    Then all engines have the target state
    And at most 2 engines had an order in flight at once
    And each engine received 1 order

  Scenario: A holder with an outdated configuration sends no orders
    Given a pool of 4 engines with the old models
    And an earlier holder has ordered version 9
    When its holder runs for 10 seconds
    Then no engine received an order

  Scenario: Without fencing checks, orders of a crashed holder have to time out first
    Given a pool of 4 engines with the old models that do not check fencing
    And an earlier holder has crashed with the lease
    When its holder runs for 12 seconds
    Then no engine received an order
    When its holder runs for 30 seconds
    Then all engines have the target state

  Scenario: No order is sent if the lease expires between connect and send
    Given an engine on a TCP port
    When an order is sent whose lease expires during connect
    Then the order ends as lease_not_held
    And the engine has received no order

  Scenario: An order with an outdated fencing number ends as a lost lease
    Given an engine on a TCP port
    When it rejects an order with status 409
    Then the order ends as lease_not_held

  Scenario: Candidates spread the leases over all instances
    Then of 100 instances 3 compete for each of 8 pools, and removing one replaces at most one
