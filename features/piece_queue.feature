Feature: Which pieces go into the next call
  Decisions on the queue of a group of runners, without a loop or a socket.

  Scenario Outline: Pieces go in the order in which they are needed: <case>
    Given a queue for calls of <most> pieces
    And these pieces wait
      | name | priority | needed | ends | lead | bytes | zone |
      | a    | <a prio> | <a at> | 9    | <a lead> | 10 | z  |
      | b    | 0        | 2.0    | 9    | 0    | 10    | z    |
    When a runner of zone z with room for 1000 bytes takes a call at 0
    Then the call has the pieces <taken>

    Examples:
      | case                          | most | a prio | a at | a lead | taken |
      | the one that is needed sooner | 1    | 0      | 1.0  | 0      | a     |
      | a less urgent one waits       | 1    | 3      | 1.9  | 0      | b     |
      | a large request has a lead    | 1    | 0      | 2.1  | 0.3    | a     |
      | one that is late goes last    | 1    | 0      | 0.1  | 0      | b     |
      | both in one call              | 2    | 0      | 1.0  | 0      | a b   |

  Scenario Outline: A call waits for room when it would be small: <case>
    Given a queue for calls of 4 pieces
    And these pieces wait
      | name | priority | needed | ends | lead | bytes | zone |
      | a    | 0        | 1      | 9    | 0    | 100   | z    |
      | b    | 0        | 2      | 9    | 0    | 100   | z    |
      | c    | 0        | 3      | 9    | 0    | 100   | z    |
    When a <patience> runner of zone z with room for <room> bytes takes a call at 0
    Then the call has the pieces <taken>

    Examples:
      | case              | patience  | room | taken |
      | room for all      | patient   | 300  | a b c |
      | room for one      | patient   | 100  | -     |
      | it waited enough  | impatient | 100  | a     |
      | no room at all    | impatient | 0    | -     |

  Scenario Outline: Large results are made in their zone: <case>
    Given a queue for calls of 4 pieces
    And these pieces wait
      | name | priority | needed | ends | lead | bytes   | zone   |
      | a    | 0        | 1      | 9    | 0    | <bytes> | <home> |
    When a runner of zone z with room for 9000000 bytes takes a call at <now>
    Then the call has the pieces <taken>

    Examples:
      | case                      | bytes   | home  | now | taken |
      | its own zone              | 1500000 | z     | 0.0 | a     |
      | another zone, for a while | 1500000 | y     | 0.1 | -     |
      | another zone, then not    | 1500000 | y     | 0.5 | a     |
      | small results go anywhere | 100     | y     | 0.1 | a     |
      | a zone without runners    | 1500000 | other | 0.1 | a     |

  Scenario Outline: Pieces that are not worth making are dropped: <case>
    Given a queue for calls of 1 pieces
    And these pieces wait
      | name | priority | needed  | ends   | lead | bytes | zone | cost |
      | a    | 0        | <need>  | <ends> | 0    | 10    | z    | <in>   |
      | b    | 0        | 5       | 9      | 0    | 10    | z    |        |
    When late pieces are dropped at 0
    Then the pieces <dropped> are dropped

    Examples:
      | case                               | need | ends | in | dropped |
      | nobody waits for it any more       | 0.1  | 0.1  |    | a       |
      | late, and nothing was made for it  | 0.1  | 9    |    | a       |
      | late, but work has gone into it    | 0.1  | 9    | x  | -       |
      | in time                            | 1.0  | 9    |    | -       |

  Scenario Outline: Pieces of deferred requests go last: <case>
    Given a queue for calls of 2 pieces
    And these pieces wait
      | name | priority | needed | ends | lead | bytes | zone | cost | deferred |
      | a    | 0        | 1.0    | 9    | 0    | 10    | z    |      | x        |
      | b    | 0        | <b at> | 9    | 0    | 10    | z    | <b cost> | <b deferred> |
      | c    | 0        | 3.0    | 9    | 0    | 10    | z    |      |          |
    When a runner of zone z with room for 1000 bytes takes a call at 0
    Then the call has the pieces <taken>

    Examples:
      | case                                | b at | b cost | b deferred | taken |
      | behind all that can be in time      | 2.0  |        |            | b c   |
      | work that was begun goes on first   | 2.0  | x      | x          | c b   |
      | also where it is late               | 0.1  | x      |            | c b   |
      | else those that were promised first | 2.0  |        | x          | c a   |

  Scenario Outline: Which pieces lie ahead of a new request: <case>
    Given pledges of 3 urgent and 4 deferred pieces here, and 5 and 6 at a peer
    Then <ahead> pieces lie ahead of one that is <kind>

    Examples:
      | case                             | kind     | ahead |
      | urgent ones alone                | urgent   | 8     |
      | all, for one that goes behind    | deferred | 18    |

  Scenario Outline: A group is as fast as its runners together: <case>
    Given a group whose runners have the paces <paces>
    Then the group has the pace <pace>

    Examples:
      | case                       | paces | pace |
      | all as they should be      | 1 1   | 1    |
      | one of two is slow         | 1 5   | 1.67 |
      | a group without runners    | -     | 1    |

  Scenario: The only runner of a group refuses connections for a while
    Given a group whose only runner refuses connections for 0.4 s
    When 2 pieces are ordered
    Then they are made, after at most 4 calls

  Scenario: Room counts calls, results and what others use
    Given a runner with room for 1000 bytes
    When a call for 300 bytes begins at 0
    Then 700 bytes are free at 0
    When the call for 300 bytes ends at 0.3 with the results "h1" of 100 and "h2" of 100 bytes
    Then 800 bytes are free at 0.3
    When the result "h1" is given up
    Then 900 bytes are free at 0.3
    And 1000 bytes are free at 5
    When the runner says at 6 that it has no room
    Then 0 bytes are free at 6
    And 500 bytes are free at 6.3

  Scenario Outline: The time of new pieces: <case>
    Given a group of <runners> runners with <ahead> pieces ahead and pace <pace>
    Then 2 pieces that can begin at <begin> end at <end>

    # A call takes 0.2 s and 0.01 s a piece; at most 10 pieces.
    Examples:
      | case                        | runners | ahead | pace | begin | end   |
      | idle                        | 1       | 0     | 1    | 0     | 0.22  |
      | idle, once input is there   | 1       | 0     | 1    | 1     | 1.22  |
      | slow                        | 1       | 0     | 2    | 0     | 0.44  |
      | a full call, half done      | 1       | 8     | 1    | 0     | 0.45  |
      | the work of five calls      | 1       | 48    | 1    | 0     | 1.5   |
      | shared by five runners      | 5       | 48    | 1    | 0     | 0.33  |
