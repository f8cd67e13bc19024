Feature: The queue of pieces of a group of runners
  Which pieces form the next batch, and the estimates behind the decision.

  Scenario Outline: Pieces run in the order in which they are needed: <case>
    Given a queue for batches of <most> pieces
    And these pieces wait
      | name | priority | needed | ends | lead | bytes | zone |
      | a    | <a prio> | <a at> | 9    | <a lead> | 10 | z  |
      | b    | 0        | 2.0    | 9    | 0    | 10    | z    |
    When a runner of zone z with 1000 bytes free takes a batch at 0
    Then the batch has the pieces <taken>

    Examples:
      | case                         | most | a prio | a at | a lead | taken |
      | the piece needed first       | 1    | 0      | 1.0  | 0      | a     |
      | a lower priority waits       | 1    | 3      | 1.9  | 0      | b     |
      | a large request runs earlier | 1    | 0      | 2.1  | 0.3    | a     |
      | a late piece runs last       | 1    | 0      | 0.1  | 0      | b     |
      | both in one batch            | 2    | 0      | 1.0  | 0      | a b   |

  Scenario Outline: A small batch waits for free memory: <case>
    Given a queue for batches of 4 pieces
    And these pieces wait
      | name | priority | needed | ends | lead | bytes | zone |
      | a    | 0        | 1      | 9    | 0    | 100   | z    |
      | b    | 0        | 2      | 9    | 0    | 100   | z    |
      | c    | 0        | 3      | 9    | 0    | 100   | z    |
    When a <patience> runner of zone z with <free> bytes free takes a batch at 0
    Then the batch has the pieces <taken>

    Examples:
      | case                  | patience  | free | taken |
      | memory for all        | patient   | 300  | a b c |
      | memory for one        | patient   | 100  | -     |
      | it waited long enough | impatient | 100  | a     |
      | no memory             | impatient | 0    | -     |

  Scenario Outline: A burst of requests with large results holds up no others: <case>
    Given a queue for batches of 4 pieces
    And these pieces wait
      | name | priority | needed | ends | lead | bytes   | zone |
      | a    | 0        | 1      | 9    | 0    | 100     | z    |
      | b    | 0        | 2      | 9    | 0    | 100     | z    |
      | c    | 0        | 3      | 9    | 0    | <c>     | z    |
      | d    | 0        | 4      | 9    | 0    | <d>     | z    |
    When a patient runner of zone z with <free> bytes free takes a batch at 0
    Then the batch has the pieces <taken>

    Examples:
      | case                             | free | c  | d  | taken |
      | small results pass a large one   | 150  | 1  | 5  | a c d |
      | others wait behind the large one | 150  | 6  | 50 | -     |
      | also behind a second one         | 150  | 90 | 1  | -     |
      | no memory, not even for them     | 1    | 2  | 1  | -     |

  Scenario Outline: Pieces with large results wait for their zone: <case>
    Given a queue for batches of 4 pieces
    And these pieces wait
      | name | priority | needed | ends | lead | bytes   | zone   |
      | a    | 0        | 1      | 9    | 0    | <bytes> | <home> |
    When a runner of zone z with 9000000 bytes free takes a batch at <now>
    Then the batch has the pieces <taken>

    Examples:
      | case                       | bytes   | home  | now | taken |
      | its own zone               | 1500000 | z     | 0.0 | a     |
      | another zone, at first     | 1500000 | y     | 0.1 | -     |
      | another zone, later        | 1500000 | y     | 0.5 | a     |
      | small results run anywhere | 100     | y     | 0.1 | a     |
      | a zone without runners     | 1500000 | other | 0.1 | a     |

  # Guards against requests that are late because their pieces wait for a runner
  # of their zone while another one is free. A call takes up to 0.24 s.
  Scenario Outline: Pieces wait for their zone only while there is time: <case>
    Given a queue for batches of 4 pieces
    And these pieces wait
      | name | priority | needed | ends | lead | bytes   | zone |
      | a    | 0        | <need> | 9    | 0    | 1500000 | y    |
    When a runner of zone z with 9000000 bytes free takes a batch at 0.1
    Then the batch has the pieces <taken>

    Examples:
      | case                                | need | taken |
      | time for another call after the wait | 0.9 | -     |
      | only if it is taken now             | 0.5  | a     |
      | late anyway                         | 0.1  | a     |

  Scenario Outline: Pieces that are not worth running are dropped: <case>
    Given a queue for batches of 1 pieces
    And these pieces wait
      | name | priority | needed  | ends   | lead | bytes | zone | cost |
      | a    | 0        | <need>  | <ends> | 0    | 10    | z    | <in>   |
      | b    | 0        | 5       | 9      | 0    | 10    | z    |        |
    When late pieces are dropped at 0
    Then the pieces <dropped> are dropped

    Examples:
      | case                                | need | ends | in | dropped |
      | the result would be useless         | 0.1  | 0.1  |    | a       |
      | late, no work done for its request  | 0.1  | 9    |    | a       |
      | late, but work done for its request | 0.1  | 9    | x  | -       |
      | in time                             | 1.0  | 9    |    | -       |

  Scenario Outline: Pieces of deferred requests run last: <case>
    Given a queue for batches of 2 pieces
    And these pieces wait
      | name | priority | needed | ends | lead | bytes | zone | cost | deferred |
      | a    | 0        | 1.0    | 9    | 0    | 10    | z    |      | x        |
      | b    | 0        | <b at> | 9    | 0    | 10    | z    | <b cost> | <b deferred> |
      | c    | 0        | 3.0    | 9    | 0    | 10    | z    |      |          |
    When a runner of zone z with 1000 bytes free takes a batch at 0
    Then the batch has the pieces <taken>

    Examples:
      | case                                    | b at | b cost | b deferred | taken |
      | after all that can be in time           | 2.0  |        |            | b c   |
      | requests with results first             | 2.0  | x      | x          | c b   |
      | also if the piece is late, not deferred | 0.1  | x      |            | c b   |
      | otherwise by the time needed            | 2.0  |        | x          | c a   |

  # Guards against a less urgent request in the place that a more urgent one
  # needs to be in time, and against results that are made and then not used.
  # A call takes 0.2 s and 0.01 s for each piece.
  Scenario Outline: More pieces wait than can be in time: <case>
    Given a queue for batches of <most> pieces
    And these requests wait
      | name | priority | needed | pieces | cost   |
      | a    | <a prio> | <a at> | <a>    |        |
      | b    | 0        | <b at> | <b>    | <cost> |
    When a runner takes one batch after the other
    Then the requests <complete> are complete in time

    Examples:
      | case                                     | most | a prio | a at | a         | b at | b     | cost | complete  |
      | there is time for all                    | 1    | 1      | 0.65 | 1,1       | 0.9  | 1,1   |      | a a b b   |
      | the less urgent ones give way            | 1    | 1      | 0.65 | 1,1,1     | 0.9  | 1,1   |      | a a b b   |
      | all of them, if all their time is needed | 1    | 1      | 0.30 | 1         | 0.9  | 1,1,1,1,1 |  | b b b b   |
      | but not for a request that is late then  | 1    | 1      | 0.30 | 1         | 0.9  | 5     |      | a         |
      | a large request gives way as a whole     | 2    | 1      | 0.60 | 4         | 0.8  | 2,2   |      | b b       |
      | requests with results come first         | 1    | 0      | 0.30 | 1         | 0.4  | 1     | x    | b         |
      | urgent ones do not give way              | 1    | 0      | 0.30 | 1         | 0.4  | 1     |      | a         |

  # Guards against one client account that takes the places of all others.
  Scenario Outline: Accounts share what can be in time: <case>
    Given a queue for batches of 1 pieces
    And these requests wait
      | name | priority | needed | pieces | cost     | account |
      | a    | <a prio> | 0.88   | <a>    | <a cost> | x       |
      | b    | 1        | 0.89   | <b>    |          | y       |
      | c    | 1        | 0.89   | <c>    |          | z       |
    When a runner takes one batch after the other
    Then the requests <complete> are complete in time

    # Four pieces can be in time.
    Examples:
      | case                             | a prio | a           | a cost | b       | c | complete |
      | a burst of one account           | 1      | 1,1,1,1,1,1 |        | 1       | - | a a a b  |
      | two bursts                       | 1      | 1,1,1,1,1,1 |        | 1,1,1,1 | - | a a b b  |
      | three accounts                   | 1      | 1,1,1,1,1,1 |        | 1,1,1   | 1 | a a b c  |
      | a share that is not used is lent | 1      | 1,1,1,1,1,1 |        | -       | - | a a a a  |
      | more urgent ones do not share    | 0      | 1,1,1,1,1,1 |        | 1       | - | a a a a  |
      | results that are made are kept   | 1      | 1,1,1,1,1,1 | x      | 1       | - | a a a a  |

  # Guards against a change of order where callers do not compete.
  Scenario: Without shared capacity pieces run by due time alone
    Given a queue for batches of 1 pieces without shared capacity
    And these requests wait
      | name | priority | needed | pieces | cost |
      | a    | 1        | 0.65   | 1,1,1  |      |
      | b    | 0        | 0.9    | 1,1    |      |
    When a runner takes one batch after the other
    Then the requests a a a b are complete in time

  Scenario: A request of which pieces were made is not dropped
    Given a queue for batches of 2 pieces
    And these requests wait
      | name | priority | needed | pieces | cost |
      | a    | 0        | 0.5    | 3      |      |
      | b    | 0        | 0.9    | 2      |      |
    When a runner of zone z with 1000 bytes free takes a batch at 0
    And late pieces are dropped at 0.4
    Then the batch has the pieces a0 a0
    And the pieces - are dropped

  Scenario Outline: Pieces ahead of a new request: <case>
    Given pledges of 3 urgent and 4 deferred pieces here, and 5 and 6 at a peer
    Then <ahead> pieces are ahead of a request that is <kind>

    Examples:
      | case               | kind     | ahead |
      | only urgent pieces | urgent   | 8     |
      | all pieces         | deferred | 18    |

  # Guards against urgent requests that are refused for work that gives way to
  # them. The peer's pledges are sent and received as gossip.
  Scenario Outline: Only requests of equal or higher urgency are ahead: <priority>
    Given pledges of these pieces by priority
      | place | 0 | 1 | 2 | 5 | deferred |
      | here  | 3 | 4 | 5 | 1 | 2        |
      | peer  | 6 | 7 | 0 | 0 | 3        |
      | older | 8 |   |   |   | 1        |
    Then <ahead> pieces are ahead of a request of priority <priority>
    And 40 pieces are ahead of a deferred request of priority <priority>

    Examples:
      | priority | ahead |
      | 0        | 17    |
      | 1        | 28    |
      | 2        | 33    |
      | 3        | 34    |
      | 9        | 34    |

  Scenario Outline: A plan under a burst of less urgent requests: priority <priority>
    Given 600 pieces of priority 1 are pledged to a group of 5 runners
    Then a request of priority <priority> with 2 pieces there is planned to take <stages_s> s, <contended>

    Examples:
      | priority | stages_s | contended     |
      | 0        | 0.20     | not contended |
      | 1        | 3.61     | contended     |

  # Guards against an account with many requests that gets those of all others
  # refused. Accounts x, y and z need 100, 10 and 10 pieces, half of them at a
  # peer.
  Scenario Outline: A burst of one account is ahead of its own requests: <account>
    Given the accounts need pieces
      | account | here | peer |
      | x       | 50   | 50   |
      | y       | 10   | 0    |
      | z       | 0    | 10   |
    Then <percent> percent of the pieces are ahead of 2 new ones of account "<account>"

    Examples:
      | account | percent |
      | x       | 100     |
      | y       | 26.7    |
      | new     | 5       |
      |         | 100     |

  Scenario: An account without pieces is reported until peers have heard it
    Given the accounts need pieces
      | account | here | peer |
      | y       | 10   | 0    |
    When the account "y" needs 10 pieces less
    Then it reports 0 pieces of "y" for 1 s, and then nothing

  # Guards against callers that are refused in a burst and return together.
  Scenario: Refused callers are told to return at different times
    Then the Retry-After of 100 requests that are 0.2 s late are spread over 0.4 s and more, 1 s on average

  Scenario Outline: The pace of a group follows from its runners: <case>
    Given a group whose runners have the paces <paces>
    Then the group has the pace <pace>

    Examples:
      | case                    | paces | pace |
      | all at the nominal pace | 1 1   | 1    |
      | one of two is slow      | 1 5   | 1.67 |
      | a group without runners | -     | 1    |

  Scenario: The only runner of a group refuses connections for a while
    Given a group whose only runner refuses connections for 0.4 s
    When 2 pieces are ordered
    Then they complete after at most 4 calls

  Scenario: Free memory excludes calls, results and the use by others
    Given a runner with memory for 1000 bytes
    When a call for 300 bytes begins at 0
    Then 700 bytes are free at 0
    When the call for 300 bytes ends at 0.3 with the results "h1" of 100 and "h2" of 100 bytes
    Then 800 bytes are free at 0.3
    When the result "h1" is released
    Then 900 bytes are free at 0.3
    And 1000 bytes are free at 5
    When the runner reports at 6 that it is out of memory
    Then 0 bytes are free at 6
    And 500 bytes are free at 6.3

  Scenario Outline: The estimated end of new pieces: <case>
    Given a group of <runners> runners with <ahead> pieces ahead and pace <pace>
    Then 2 pieces that can start at <start> end at <end>

    # A call takes 0.2 s plus 0.01 s per piece, and has at most 10 pieces.
    Examples:
      | case                     | runners | ahead | pace | start | end  |
      | idle                     | 1       | 0     | 1    | 0     | 0.22 |
      | idle, after the input    | 1       | 0     | 1    | 1     | 1.22 |
      | slow                     | 1       | 0     | 2    | 0     | 0.44 |
      | one full batch in all    | 1       | 8     | 1    | 0     | 0.45 |
      | five full batches in all | 1       | 48    | 1    | 0     | 1.5  |
      | shared by five runners   | 5       | 48    | 1    | 0     | 0.33 |

  # Guards against an idle runner beside waiting pieces: what was freed during a
  # call in which a piece found no room counted as occupied after it.
  Scenario: Memory that is freed during a call is free after it
    Given a runner with memory for 1000 bytes
    And it holds the results "h1" of 600 and "h2" of 200 bytes
    When a call for 150 bytes begins at 1
    And the result "h1" is released
    And the call of 150 bytes that began at 1 ends at 1.3 with the result "h3" of 100 bytes, without room for the rest
    Then 650 bytes are free at 1.3
    And 675 bytes are free at 1.6

  # Guards against a batching instance whose processor time goes into sorting a
  # long queue for runners that cannot take a call. Each of them is looked at 50
  # times a second, for which 1.3% of a core may be used.
  Scenario: A runner without memory costs little while many pieces wait
    Given a queue for batches of 60 pieces
    And 200 requests with 6 pieces of 16 accounts wait
    When a runner without memory asks 500 times for a batch
    Then it gets no piece, and 0.13 s of processor time were used at most

  # Guards against plans and an order of the queue that count on full calls at
  # all runners where a group does less: too much is then admitted, and all of
  # it is late. Two runners make 66.7 pieces a second in full calls.
  Scenario Outline: The pace at which a group works off a backlog: <case>
    Given the drain of a group of 2 runners with batches of 10 pieces
    When <waiting> pieces wait for 6 s while <made> pieces are made each second
    Then its pace is <pace> then and <later> after 10 s without a backlog

    Examples:
      | case                          | waiting | made | pace | later |
      | full calls at all runners     | 50      | 66.7 | 1    | 1     |
      | half of that                  | 50      | 33.3 | 1.8  | 1.1   |
      | less than a batch waits       | 9       | 10   | 1    | 1     |
      | a batch waits, nothing is made | 10     | 0    | 9.5  | 1.3   |

  Scenario Outline: A plan for a group with a backlog: <case>
    Given 600 pieces of priority 1 are pledged to a group of 5 runners
    And it works off a backlog at the pace <drain>
    Then a request of priority <priority> with 2 pieces there is planned to take <stages_s> s, <contended>

    Examples:
      | case                  | drain | priority | stages_s | contended     |
      | full calls            | 1     | 1        | 3.61     | contended     |
      | half of that          | 2     | 1        | 7.22     | contended     |
      | an urgent one, not    | 2     | 0        | 0.20     | not contended |

  # Guards against early stages that use up the time that later ones need. A call
  # of two pieces takes 0.22 s.
  Scenario Outline: Pieces are needed early enough for the later stages: <case>
    Given 0 pieces of priority 0 are pledged to a group of 5 runners
    And its calls have the pace <pace> and its orders lately took <orders> s
    And each of 20 orders to it has taken <beside> s beside queue and call
    Then the pieces of a chain of three stages are needed <first>, <second> and 0 s before its end

    Examples:
      | case                      | pace | orders | beside | first | second |
      | nominal                   | 1    | 0      | 0      | 0.44  | 0.22   |
      | slow calls                | 1.5  | 0      | 0      | 0.66  | 0.33   |
      | time between the stages   | 1    | 0      | 0.06   | 0.56  | 0.28   |
      | both                      | 1.5  | 0      | 0.06   | 0.78  | 0.39   |
      | orders wait               | 1    | 0.5    | 0.06   | 1.12  | 0.56   |
      | orders of fewer pieces    | 1    | 0.1    | 0      | 0.44  | 0.22   |

  # Guards against plans that are too long for seconds after one lost order.
  Scenario: One order that takes long hardly changes the time between stages
    Given 0 pieces of priority 0 are pledged to a group of 5 runners
    And each of 20 orders to it has taken 0.06 s beside queue and call
    And each of 1 orders to it has taken 2 s beside queue and call
    Then the pieces of a chain of three stages are needed 0.58, 0.29 and 0 s before its end

  Scenario Outline: Only requests that a slow group can serve in time do not give way: <case>
    Given a queue for batches of 1 pieces
    And these requests wait
      | name | priority | needed | pieces    | cost |
      | a    | 0        | 0.9    | 1,1,1,1,1 | x    |
    When a runner of a group with the drain pace <drain> takes a batch at 0
    Then <yielding> requests give way

    Examples:
      | case           | drain | yielding |
      | nominal, 4 fit | 1     | 1        |
      | half of it     | 2     | 3        |
