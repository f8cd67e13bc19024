Feature: Each call gets an upstream that can take it, or is refused at once

  Scenario: No history of events brings a leaving upstream or a zone back
    Then in 300 drawn directory histories no removed upstream is a candidate

  Scenario: A higher incarnation of a leaving upstream may come back
    Given a routing directory with the lines
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

  Scenario: An upstream that the list no longer shows gets no work after a while
    Given a routing directory with the lines
      | name | zone | incarnation | presence |
      | u1   | z1   | 1           | live     |
    When the routing list shows
      | name | zone | incarnation | presence |
      | u2   | z1   | 1           | live     |
    Then the upstream u1 is open to new work
    When 4 routing seconds pass
    Then the upstream u1 is not open to new work

  Scenario: Two choices keep the load even
    Given a routing core with 20 warm upstreams that bear 100 calls each
    When 1000 routed calls start and none ends
    Then no upstream has more than 60 routed calls in flight

  Scenario: A prefix keeps its upstream while the load is within its bound
    Given a routing core with 20 warm upstreams that bear 100 calls each
    When 10 routed calls of one prefix run one after the other
    Then they all went to one upstream
    When 400 routed calls of one prefix start and none ends
    Then no upstream has more than 40 routed calls in flight

  Scenario: A membership change moves few prefixes
    Given a routing core with 20 warm upstreams that bear 100 calls each
    When one upstream of 20 leaves between 400 routed prefixes
    Then at most 60 of the routed prefixes moved

  Scenario: The own availability zone is preferred while it is not slower
    Given a routing core with 8 warm upstreams that bear 100 calls each
    When 50 routed calls run one after the other
    Then at least 40 routed calls went to the own availability zone

  Scenario Outline: A breaker opens by the type of failure and closes by a probe
    Given a routing core with 2 warm upstreams that bear 8 calls each
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

  Scenario: An open breaker lets one probe pass after its time
    Given a routing core with 1 warm upstreams that bear 8 calls each
    When the upstream u0 ends 5 routed calls as failed
    Then a routed call is refused with a time to come back of at most 1 seconds
    When 1.1 routing seconds pass with reports
    Then exactly 1 of 3 routed calls starts
    When the started routed calls end as succeeded
    Then the breaker of u0 is closed

  Scenario: A slow upstream is avoided, but never more than a share of them
    Given a routing core with 10 warm upstreams that bear 100 calls each
    When 4 of the upstreams answer 10 times as slowly over 600 routed calls
    Then 2 upstreams count as slow

  Scenario: A call that cannot be served in time is refused at once
    Given a routing core with 1 warm upstreams that bear 2 calls each
    When routed calls of 1 second fill it
    Then a routed call with 0.5 seconds left is refused at once
    And a routed call with 30 seconds left may wait

  Scenario: Calls that wait are served in their order
    Given a routing core with 1 warm upstreams that bear 2 calls each
    When 6 routed calls wait behind 2 that run
    Then they start in their order as places become free

  Scenario: All that wait are told when there is nothing left to wait for
    Given a routing core with 1 warm upstreams that bear 2 calls each
    When 6 routed calls wait behind 2 that run
    And the zone of all routed upstreams is taken out
    Then all routed calls that wait are refused at once

  Scenario: A pool that does not report is served under a lease from the start
    Given a routing core with 2 cold upstreams that do not report
    When its leases are granted and 5 routing seconds pass
    Then exactly 4 of 6 routed calls starts
    When the started routed calls end as warm
    Then exactly 6 of 6 routed calls starts
