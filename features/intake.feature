Feature: Callers that send too much are refused before they exhaust the memory
  The decisions need no network; the answers are those of a gateway.

  # Guards against many bodies that stop short of their end: they would hold
  # the budget, and nobody else would get in.
  Scenario: Bodies that stop short make room for one that arrives
    Given a budget of 10 MB for bodies
    When 12 uploads of 1000000 bytes stop one byte short
    And another upload of 500000 bytes arrives 2 s later
    Then the other one is complete within 2 s
    And at most 11 MB were held

  # Guards against refusing callers that go on sending.
  Scenario: An upload that progresses is not refused while others have stalled
    Given a budget of 10 MB for bodies
    When 7 uploads of 1000000 bytes stop one byte short
    And another upload of 900000 bytes sends 10000 bytes every 0.1 s
    Then the other one is complete

  Scenario: A slow upload without pressure is not refused
    Given a budget of 10 MB for bodies
    When another upload of 20000 bytes sends 1000 bytes every 8 s
    Then the other one is complete

  Scenario: An upload of which single bytes arrive is refused
    Given a budget of 10 MB for bodies
    When another upload of 20000 bytes sends 1 bytes every 8 s
    Then the other one is refused with body_stalled

  # Guards against a deadlock of large uploads that wait for each other.
  Scenario: Uploads that do not fit together end one after another
    Given a budget of 10 MB for bodies
    When 30 uploads of 4000000 bytes arrive in turns
    Then at least 2 of them are complete and the others are refused
    And at most 12 MB were held

  Scenario: Surplus connections replace those without a request
    Given a budget of 10 MB for bodies
    When 40 connections are opened, the first with a body in progress
    Then the oldest silent ones are closed and the first is kept

  Scenario Outline: A refusal states that nothing has run: <case>
    Given a site with a runner of each service
    When a caller sends a body that <case>
    Then the refusal is <status> and no runner has the request

    Examples:
      | case                             | status |
      | is announced over the limit      | 413    |
      | goes over the limit in chunks    | 413    |
      | announces a chunk over the limit | 413    |
      | stops short of its end           | 408    |

  # Guards against a body that is read to its end although it is refused.
  Scenario: A body whose end arrives after its refusal does not run
    Given a site with a runner of each service
    When a caller sends the rest of a body after its refusal
    Then the refusal is 408 and no runner has the request

  # Guards against a budget that is not given back, and against answers that
  # wait although there is room.
  Scenario: Answers wait for room, and a caller that does not read is cut
    Given a budget of 1 MB for answers
    When answers of 600000, 300000, 300000 and 1000 bytes are to be held
    Then the third one waits and the small one does not
    When the first caller takes nothing for 6 s and the second one does
    Then only the first caller is cut and the third answer is held

  Scenario: An answer above the whole budget is held alone
    Given a budget of 1 MB for answers
    When answers of 3000000, 100000, 100000 and 1000 bytes are to be held
    Then the second one waits until the first is released

  # Guards against cutting a sound caller: nothing is short here.
  Scenario: A caller that reads slowly gets its whole stream
    Given a site with a runner of each service
    And the runner "model-1" sends 400 events of 10000 bytes
    When a caller reads a stream at 1000000 bytes/s
    Then it has all 400 events

  # Guards against answers of unknown length that wait for each other for ever.
  Scenario: Answers that grow beyond the budget end one after another
    Given a budget of 1 MB for answers
    When 5 answers grow to 600000 bytes in turns
    Then all of them were held in the end and at most 2 MB at once

  # Guards against counts that drift: the budget would be used up for ever.
  Scenario: The counts are right after any order of events
    When 300 seeded callers open, send, stop, are served and leave at random
    Then the counts equal what is held after each event, and are 0 in the end
