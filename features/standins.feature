Feature: The stand-ins follow the protocols
  The proofs rely on the stand-ins: they serve docs/PROTOCOLS.md, and each
  injected fault has exactly the effect that its name says.

  Scenario: The table applies either all writes of a transaction or none
    Given a stand-in platform
    When the writes of each row are sent as one transaction
      | writes                  | status |
      | orders/a=0, orders/b=0  | 200    |
      | orders/c=0, orders/a=0  | 412    |
      | orders/a=1, orders/b=1  | 200    |
    Then the table contains
      | row      | version |
      | orders/a | 2       |
      | orders/b | 2       |
      | orders/c | none    |

  Scenario: An answer is lost only after its write took effect
    Given a stand-in platform
    And its next 1 answers to writes are lost
    When the writes of each row are sent as one transaction
      | writes     | status |
      | orders/a=0 | 0      |
    Then the table contains
      | row      | version |
      | orders/a | 1       |

  Scenario: Writes above the rate limit are refused
    Given a stand-in platform
    And its write limit is 5 per second
    When 20 writes are sent concurrently
    Then some of them are refused with 429

  Scenario: The list of instances lags and steps back
    Given a stand-in platform
    When the list is set to "one", then to "two"
    Then the list shows "two"
    When the list steps back by 1
    Then the list shows "one"
    When the list steps back by 0 and lags 60 seconds
    Then the list shows ""

  Scenario: A stream ends with the digest of its text and can be resumed
    Given a stand-in engine
    When the engine streams a text of 8 tokens
    Then the text is complete and derived from the request
    When the same stream is resumed after token 5
    Then 3 tokens arrive and the end event has the same digest

  Scenario: A stream that the engine does not know is not run again
    Given a stand-in engine
    When an unknown stream is resumed after token 2
    Then the engine answers 404

  Scenario: A cold engine restarts when calls exceed its limit
    Given a stand-in engine that starts cold with a limit of 1 call
    When 2 calls are sent concurrently
    Then both fail, and the engine restarts with incarnation 2

  Scenario: An engine that checks fencing refuses a stale number
    Given a stand-in engine
    When it receives orders with the fencing numbers 3, 2, 4
    Then it answers 200, 409, 200

  Scenario: An engine that ignores fencing accepts a stale number
    Given a stand-in engine that ignores fencing
    When it receives orders with the fencing numbers 3, 2, 4
    Then it answers 200, 200, 200

  Scenario: Crossed answers carry the id of the other call
    Given a stand-in engine
    And its next 2 answers are crossed
    When 2 calls are sent concurrently
    Then each answer carries the id of the other call

  Scenario: A call whose answer is dropped has run
    Given a stand-in engine
    And its next 1 answers are dropped
    When 1 calls are sent concurrently
    Then the engine ran 1 calls and no caller got an answer

  Scenario: The relay cuts an answer after a number of bytes
    Given a stand-in engine
    And a relay in front of it that cuts the next answer after 40 bytes
    When 1 calls are sent concurrently
    Then the engine ran 1 calls and no caller got an answer

  Scenario: The relay crosses the answers of two connections
    Given a stand-in engine
    And a relay in front of it that crosses the next 2 connections
    When 2 calls are sent concurrently
    Then each answer carries the id of the other call
