Feature: Where the time of a request's stages goes
  What operators need to tell a long queue from slow runners, from a piece that
  waits for its zone and from a busy process.

  # Guards against late requests whose cause the logs cannot tell.
  Scenario: The last of three calls waits for the others
    When 3 instances order 10 pieces each, which take 0.3 s, from 1 runner
    Then the slowest of their pieces waited 0.6 s and ran 0.3 s
    And peers hear that an order took 0.64 s on average, and nothing 9 s later

  # Guards against a wait for the own zone that looks like a long queue.
  Scenario: A piece is left for a runner of its zone
    Given a queue for batches of 4 pieces
    And these pieces wait
      | name | priority | needed | ends | lead | bytes  | zone |
      | a    | 0        | 9      | 9    | 0    | 300000 | y    |
    When a runner of zone z with 1000000 bytes free takes a batch at 0.1
    Then the batch has the pieces -
    When a runner of zone z with 1000000 bytes free takes a batch at 0.35
    Then the batch has the pieces a
    And its pieces were held for 0.25 s

  Scenario: An event loop that is busy
    Given the load of an event loop
    When its timers fire 0, 0.01 and 0.3 s late within a period
    Then it reports a delay of 103.3 ms on average and 300 ms at most
