Feature: Admission by client account
  Limits are shared over the entries, large accounts do not starve the others,
  and a request that cannot be in time gets its final answer at once.

  Scenario Outline: A large account cannot starve a small one
    Given an entry that bears 25 requests a second of 0.4 s each
    When account "large" offers <large> and "small" offers 2 a second for 40 s
    Then every request of "small" is served in time
    And 99 in 100 requests of "small" wait at most 0.7 s
    And requests served in time are at least 90 in 100 of what the entry bears
    And late answers are at most 2 in 100 of the offered requests

    Examples:
      | large |
      | 28    |
      | 50    |
      | 100   |

  Scenario: Contending accounts are served by their weights
    Given an entry that bears 25 requests a second of 0.4 s each
    And account "one" has weight 1 and account "three" has weight 3
    When both offer 40 requests a second for 60 s
    Then "three" is served 3 times as often as "one", within 10 in 100

  Scenario: A request that cannot be in time is refused at once
    Given an entry that bears 10 requests a second of 1.0 s each
    And its service time has been measured
    When a request comes with a deadline of 0.3 s
    Then it is refused at once with "deadline_too_short" and a time to come back

  Scenario: A waiting request is ended when its deadline gets out of reach
    Given an entry that bears 2 requests a second of 0.5 s each
    And its service time has been measured
    And requests with deadlines of 2 to 6 s wait
    When the requests that run never end
    Then each waiting request is ended before its last possible start has passed by 0.1 s
    And none of them is ended later than its deadline

  Scenario: A full queue gives way to the account that waits with less
    Given an entry that bears 2 requests a second of 0.5 s each
    And a queue limit of 10
    When account "large" offers 40 requests at once
    And account "small" offers 1 request
    Then the request of "small" waits or runs
    And "large" has had a request refused with "queue_full"

  Scenario: A queue for one pool does not refuse requests for another
    Given an entry that bears 2 requests a second of 0.5 s each
    When account "large" offers 40 requests at once
    Then a request of "large" for an idle service is let in at once

  Scenario: The rate limit says when to come back, and means it
    Given an entry alone with an account of 2 requests a second and a burst of 3
    When the account offers 5 requests at once
    Then 3 are let in and 2 are refused with "account_limit"
    And a request that comes back after the time told is let in

  Scenario: A target that was slow is tried again
    Given an entry that bears 10 requests a second of 4.0 s each
    And its service time has been measured
    When a request comes with a deadline of 3.0 s
    Then it is refused at once with "deadline_too_short" and a time to come back
    And a request with a deadline of 3.0 s is let in 20 s later

  Scenario: The parts of a limit add up to it
    Then for any demand the parts of all entries add up to the limit

  Scenario: Parts that follow a moving demand do not exceed the limit
    Given 4 entries that hear of each other's demand 0.5 s late
    When the whole demand of an account moves from one entry to another
    Then the parts together stay within 105 in 100 of the limit
    And within 8 s the entry with the demand has at least 80 in 100 of it

  Scenario: Capacity is lowered while upstreams refuse, and grows back
    Given a pool of which all capacity is counted on
    When 3 in 10 of 200 calls in 4 s are refused for overload
    Then at most 60 in 100 of the capacity is counted on
    When 1 in 20 of 400 calls in 8 s are refused for overload
    Then at least 80 in 100 of the capacity is counted on

  Scenario: Nothing is lost or counted twice
    Then for any history of requests each gets one outcome and limits hold

  Scenario: A caller that leaves gives its place back
    Given an admission in the loop with room for 1 request
    When 3 requests ask to be let in
    And the second caller leaves
    And the first request ends
    Then the third request is let in
    And nothing runs or waits once it has ended
