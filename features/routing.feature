Feature: Each call gets an upstream with capacity, or is refused at once

  Scenario: No sequence of events reopens a leaving upstream or a removed zone
    Then in 300 generated directory histories no removed upstream is open

  Scenario: A leaving upstream gets new work again with a higher incarnation
    Given a routing directory with the listed upstreams
      | name | zone | incarnation | presence |
      | u1   | z1   | 4           | leaving  |
    When the routing list shows
      | name | zone | incarnation | presence |
      | u1   | z1   | 4           | live     |
    Then the upstream u1 is not open to new work
    When the routing list shows
      | name | zone | incarnation | presence |
      | u1   | z1   | 5           | live     |
    Then the upstream u1 is open to new work

  Scenario: An upstream missing from the list gets no new work after a timeout
    Given a routing directory with the listed upstreams
      | name | zone | incarnation | presence |
      | u1   | z1   | 1           | live     |
    When the routing list shows
      | name | zone | incarnation | presence |
      | u2   | z1   | 1           | live     |
    Then the upstream u1 is open to new work
    When 4 routing seconds pass
    Then the upstream u1 is not open to new work

  Scenario: The power of two choices keeps the load even
    Given a routing core with 20 warm upstreams that take 100 calls each
    When 1000 routed calls start and stay in flight
    Then no upstream has more than 60 routed calls in flight

  Scenario: A prefix keeps its upstream while the load is within the bound
    Given a routing core with 20 warm upstreams that take 100 calls each
    When 10 routed calls of one prefix run one after the other
    Then all routed calls went to one upstream
    When 400 routed calls of one prefix start and stay in flight
    Then no upstream has more than 40 routed calls in flight

  Scenario: A membership change moves few prefixes
    Given a routing core with 20 warm upstreams that take 100 calls each
    When one of 20 upstreams leaves between two rounds of 400 routed prefixes
    Then at most 60 of the routed prefixes moved

  Scenario: The local availability zone is preferred while it is not slower
    Given a routing core with 8 warm upstreams that take 100 calls each
    When 50 routed calls run one after the other
    Then at least 40 routed calls went to the local availability zone

  Scenario Outline: A breaker opens at the threshold of the type of failure
    Given a routing core with 2 warm upstreams that take 8 calls each
    When the upstream u1 ends <count> routed calls as <end>
    Then the breaker of u1 is <state>

    Examples:
      | count | end         | state  |
      | 1     | broken      | closed |
      | 2     | broken      | open   |
      | 2     | unreachable | open   |
      | 4     | failed      | closed |
      | 5     | failed      | open   |
      | 5     | overloaded  | open   |
      | 9     | refused     | closed |
      | 9     | cancelled   | closed |

  Scenario: An open breaker admits one probe after its open time and closes on success
    Given a routing core with 1 warm upstreams that take 8 calls each
    When the upstream u0 ends 5 routed calls as failed
    Then a routed call is refused with a retry time of at most 1 seconds
    When 1.1 routing seconds pass with reports
    Then exactly 1 of 3 routed calls start
    When the started routed calls end as succeeded
    Then the breaker of u0 is closed

  Scenario: Slow upstreams are avoided, up to a share of the pool
    Given a routing core with 10 warm upstreams that take 100 calls each
    When 4 of the upstreams answer 10 times as slowly over 600 routed calls
    Then 2 upstreams count as slow

  Scenario: A call that cannot be served in time is refused at once
    Given a routing core with 1 warm upstreams that take 2 calls each
    When routed calls of 1 second use its whole capacity
    Then a routed call with 0.5 seconds left is refused at once
    And a routed call with 30 seconds left may wait

  Scenario: Waiting calls are served in FIFO order
    Given a routing core with 1 warm upstreams that take 2 calls each
    When 6 routed calls wait behind 2 that run
    Then they start in FIFO order as capacity becomes free

  Scenario: All waiting calls are refused once no upstream is left
    Given a routing core with 1 warm upstreams that take 2 calls each
    When 6 routed calls wait behind 2 that run
    And the zone of all routed upstreams is taken out
    Then all waiting routed calls are refused at once

  Scenario: A non-reporting pool is served under a lease from the start
    Given a routing core with 2 cold upstreams that do not report
    When its leases are granted and 5 routing seconds pass
    Then exactly 4 of 6 routed calls start
    When the started routed calls end as warm
    Then exactly 6 of 6 routed calls start
