Feature: The number of calls to the store follows neither time nor each change
  Every call has a price, and a fleet of hundreds makes each of them hundreds
  of times.

  Scenario: Changes in quick succession are read together
    Given a site with a runner of each service
    When the entries of 10 runners change within 0.2 s
    Then the gateway knows all of them after at most 4 calls

  Scenario: Nothing is called while nothing changes
    Given a site with a runner of each service
    When the gateway has settled, and nothing changes for 3 s
    Then it made no call in that time

  Scenario: An outage costs few calls
    Given a site with a runner of each service
    When the gateway has settled, and the store refuses all calls for 8 s
    Then it made at most 26 calls in that time

  Scenario: The end of an outage is noticed within 2 s, even with the longest pauses
    Given a site with a runner of each service
    And pauses between failed calls that are as long as they can be
    When the gateway has settled, and the store refuses all calls for 4 s
    Then it knows a new runner within 2 s

  Scenario Outline: A large fleet makes fewer calls for changes in quick succession: <instances>
    When a table changes for 5 s without a break, followed by <instances> instances
    Then each makes at most <calls> calls

    Examples:
      | instances | calls |
      | 8         | 20    |
      | 40        | 13    |
      | 195       | 9     |
