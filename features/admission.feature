Feature: Admission control by client account
  Limits are divided between the entries, large accounts do not starve the
  others, and a request that cannot meet its deadline is refused at once.

  Scenario Outline: A large account cannot starve a small one
    Given an entry with capacity for 25 requests per second of 0.4 s each
    When account "large" offers <large> and "small" offers 2 per second for 40 s
    Then every request of "small" is served in time
    And 99 percent of the requests of "small" wait at most 0.7 s
    And requests served in time are at least 90 percent of the capacity of the entry
    And late answers are at most 2 percent of the offered requests

    Examples:
      | large |
      | 28    |
      | 50    |
      | 100   |

  Scenario: Contending accounts are served by their weights
    Given an entry with capacity for 25 requests per second of 0.4 s each
    And account "one" has weight 1 and account "three" has weight 3
    When both offer 40 requests per second for 60 s
    Then "three" is served 3 times as often as "one", within 10 percent

  Scenario: A request that cannot meet its deadline is refused at once
    Given an entry with capacity for 10 requests per second of 1.0 s each
    And its service time has been measured
    When a request comes with a deadline of 0.3 s
    Then it is refused at once with "deadline_too_short" and a retry delay

  Scenario: A waiting request is refused when it can no longer meet its deadline
    Given an entry with capacity for 2 requests per second of 0.5 s each
    And its service time has been measured
    And requests with deadlines of 2 to 6 s wait
    When the running requests never end
    Then each waiting request is refused at most 0.1 s after its latest possible start
    And none of them is refused after its deadline

  Scenario: A full queue evicts a request of the account with the longest backlog
    Given an entry with capacity for 2 requests per second of 0.5 s each
    And a queue limit of 10
    When account "large" offers 40 requests at once
    And account "small" offers 1 request
    Then the request of "small" waits or runs
    And "large" has had a request refused with "queue_full"

  Scenario: A queue for one pool does not delay requests for another
    Given an entry with capacity for 2 requests per second of 0.5 s each
    When account "large" offers 40 requests at once
    Then a request of "large" for an idle service is admitted at once

  Scenario: A request is admitted after the retry delay of the rate limit
    Given a single entry with an account of 2 requests per second and a burst of 3
    When the account offers 5 requests at once
    Then 3 are admitted and 2 are refused with "account_limit"
    And a request that comes back after the retry delay is admitted

  Scenario: A target that was slow is tried again after a while
    Given an entry with capacity for 10 requests per second of 4.0 s each
    And its service time has been measured
    When a request comes with a deadline of 3.0 s
    Then it is refused at once with "deadline_too_short" and a retry delay
    And a request with a deadline of 3.0 s is admitted 20 s later

  Scenario: The shares of a limit add up to it
    Then for any demand the shares of all entries add up to the limit

  Scenario: Shares that follow a moving demand do not exceed the limit
    Given 4 entries that receive each other's demand 0.5 s late
    When the whole demand of an account moves from one entry to another
    Then the sum of the shares stays within 105 percent of the limit
    And within 8 s the entry with the demand has at least 80 percent of it

  Scenario: The assumed capacity shrinks while upstreams refuse, and recovers
    Given a pool with its full capacity available
    When 3 in 10 of 200 calls in 4 s are refused for overload
    Then at most 60 percent of the capacity is available
    When 1 in 20 of 400 calls in 8 s are refused for overload
    Then at least 80 percent of the capacity is available

  Scenario: No request is lost or counted twice
    Then for any sequence of requests each gets one outcome and no limit is exceeded

  Scenario: A caller that disconnects releases its place in the queue
    Given an admission controller with a limit of 1 request
    When 3 requests arrive
    And the second caller disconnects
    And the first request ends
    Then the third request is admitted
    And no request runs or waits once it has ended
