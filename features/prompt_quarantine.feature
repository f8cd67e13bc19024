Feature: Decisions on prompt parts that crash runners
  Instances tell each other which runs have broken and how many have begun, by
  gossip of which some is lost. Runners also crash for other reasons.

  # Guards against a crashing part that is found late, or not on all instances,
  # and against blaming a part that sound requests have.
  Scenario Outline: Any fleet refuses the crashing part soon, and no other: seed <seed>
    Given a drawn fleet whose runners crash on one part, with the seed <seed>
    When it is played for 30 s
    Then at most 3 sends with the part are later than 3 s after the fifth crash
    And no sound request is refused

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
      | 9    |
      | 10   |

  # Guards against refusing sound requests for a document that all crashing ones
  # have too, and against sparing the crashing part for its sake.
  Scenario Outline: Sound requests with the document of the crashing ones are served: seed <seed>, <share>
    Given a drawn fleet with the seed <seed>, where all crashing requests and <share> of the sound ones have one document
    When it is played for 30 s
    Then at most 3 sends with the part are later than 3 s after the fifth crash
    And no sound request is refused

    Examples:
      | seed | share |
      | 1    | 0     |
      | 2    | 0.01  |
      | 3    | 0.01  |
      | 4    | 0.05  |
      | 5    | 0.05  |
      | 6    | 0.05  |
      | 7    | 0.3   |
      | 8    | 0.3   |
      | 9    | 0.3   |
      | 10   | 1     |

  # Guards against blaming a part for crashes and breaks that no part explains.
  Scenario Outline: Any fleet refuses no part without a cause: seed <seed>
    Given a drawn fleet whose runners crash on no part, with the seed <seed>
    When it is played for 15 s
    Then no sound request is refused
    And no part is in quarantine

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
      | 9    |
      | 10   |

  # Guards against blaming a part of several requests that broke in one crash.
  Scenario: Failures at the same time count once
    Given the guard of one instance
    And 20 runs without the part "a" begin their answers
    When 12 runs with the parts "a" are sent and then all break
    Then the part "a" has 1 failure
    And the part "a" is accepted

  # Guards against blaming the parts of one request that is sent again.
  Scenario: The failures of one request count twice at most
    Given the guard of one instance
    When one request with the parts "a" breaks 6 times
    Then the part "a" has 2 failures

  # Guards against blaming a part that is common to all requests.
  Scenario: A part that no other run can be compared with is accepted
    Given the guard of one instance
    When runs with the parts "a" break 30 times one after another
    Then the part "a" is accepted

  # Guards against blaming a part while all runs fail.
  Scenario: A part is accepted while runs without it fail as often
    Given the guard of one instance
    When runs with the parts "a" break 12 times, each after a run with "b" has
    Then the part "a" is accepted

  # Guards against blaming a part that a success has cleared.
  Scenario: A run that begins its answer clears its parts
    Given the guard of one instance
    And 20 runs without the part "a" begin their answers
    When runs with the parts "a" break 3 times one after another
    And a run with the parts "a" begins its answer
    And runs with the parts "a" break 3 times one after another
    Then the part "a" is accepted

  # Guards against blaming all parts of the requests instead of the cause.
  Scenario Outline: The part that all broken runs share is refused: <first>, <second>
    Given the guard of one instance
    When a run with "<first>" and then one with "<second>" breaks, 3 times, each after 8 sound ones
    Then the part "<cause>" is refused
    And the part "<other>" is accepted

    Examples:
      | first | second | cause | other |
      | a,x   | b,x    | x     | a     |
      | x,a   | x,b    | x     | b     |
      | a,x   | x,b    | x     | a     |

  # Guards against refusing sound requests for a part that all crashing ones
  # share with them.
  Scenario Outline: Parts that nothing has told apart are refused together: <parts>
    Given the guard of one instance
    When a run with "<parts>" and then one with "<parts>" breaks, 2 times, each after 8 sound ones
    Then a request with the parts "<parts>" is refused
    And the part "a" is accepted
    And the part "x" is accepted

    Examples:
      | parts |
      | a,x   |
      | x,a   |

  # Guards against a crashing part that is only refused beside another one.
  Scenario Outline: A run tells parts apart: <run>
    Given the guards of 2 instances
    And the parts "a,x" are in quarantine together
    When <run>
    Then the refused ones of "a; x; a,x" are "<refused>" at both

    Examples:
      | run                                                  | refused |
      | a run with the parts "a" begins its answer           | x; a,x  |
      | a run with the parts "x,b" begins its answer         | a; a,x  |
      | a run with the parts "a,x" begins its answer         |         |
      | runs with the parts "x,b" break 1 time one after another | x; a,x |
      | runs with the parts "b,a" break 1 time one after another | a; a,x |

  # Guards against blaming a sound part for one break more, of another cause.
  Scenario: A single failure more does not decide between two parts
    Given the guard of one instance
    When runs with the parts "a,c" break 1 time one after another
    And 20 runs without the part "a" begin their answers
    And runs with the parts "x,a" break 3 times one after another
    Then a request with the parts "x,a" is refused
    And the part "a" is accepted

  # Guards against a sound part that stays refused, as the success that clears it
  # crosses the quarantine.
  Scenario Outline: A success at a peer counts for a quarantine: <parts>, <age> s before
    Given the guards of 2 instances
    And the parts "<parts>" are in quarantine together
    When a peer tells that "a" has succeeded <age> s before the quarantine began
    Then the refused ones of "a; x; a,x" are "<refused>" at both

    Examples:
      | parts | age | refused   |
      | a,x   | 0.5 | x; a,x    |
      | a     | 0.5 |           |
      | a,x   | 20  | a,x       |
      | a     | 20  | a; a,x    |

  # Guards against forgetting the crashing one of two parts after their time.
  Scenario: Parts stay on trial together
    Given the guard of one instance
    And the parts "a,x" are in quarantine together
    When 601 s pass
    And a run with the parts "a" begins its answer
    And 20 runs without the part "x" begin their answers
    And runs with the parts "a,x" break 1 time one after another
    Then a request with the parts "a,x" is refused

  # Guards against a key that no message or row can hold.
  Scenario: Many parts with long names are refused by some of them
    Given the guard of one instance
    And 12 parts with names of 30 characters are in quarantine together
    Then a request with these parts is refused

  # Guards against a quarantine without an end, and against one that ends only to
  # let many more runners crash.
  Scenario: A quarantine ends, and begins again with the first failure
    Given the guard of one instance
    And the part "x" is in quarantine
    Then the part "x" is refused for 600 s
    When 601 s pass
    Then the part "x" is accepted
    When 20 runs without the part "x" begin their answers
    And runs with the parts "x" break 1 time one after another
    Then the part "x" is refused for 1200 s

  # Guards against a part that is refused though it works again.
  Scenario: A success after a quarantine ends it for good
    Given the guard of one instance
    And the part "x" is in quarantine
    When 601 s pass
    And a run with the parts "x" begins its answer
    And 20 runs without the part "x" begin their answers
    And runs with the parts "x" break 3 times one after another
    Then the part "x" is accepted

  # Guards against peers that keep refusing a part that works again.
  Scenario: A run sent before the quarantine ends it on all instances
    Given the guards of 2 instances
    And a run with the parts "x" is sent
    And the part "x" is in quarantine
    When that run begins its answer
    Then the part "x" is accepted by both

  # Guards against quarantines that an older message undoes.
  Scenario: Any order of messages leads to the same state
    Given the guards of 2 instances
    When all messages of a quarantine that was lifted reach a third in any order
    Then the part "x" is accepted by the third

  # Guards against each instance writing each quarantine to the store.
  Scenario: One instance writes a quarantine
    Given 8 instances that share a store
    When all of them learn of the quarantine of "x" and 10 s pass
    Then the store has been written 1 time

  # Guards against a quarantine that is stored by no one, as its writer is gone.
  Scenario Outline: Others write where <missing> instances do not
    Given 8 instances that share a store
    And the <missing> that should write first do not work
    When all of them learn of the quarantine of "x" and 10 s pass
    Then the store has been written 1 time

    Examples:
      | missing |
      | 1       |
      | 3       |
      | 7       |

  # Guards against a quarantine that is lost in an outage of the store.
  Scenario: A quarantine is written after an outage
    Given 8 instances that share a store
    And the store is down
    When all of them learn of the quarantine of "x" and 10 s pass
    And the store is back and 10 s pass
    Then the store has been written 1 time

  # Guards against a quarantine that a restored store has lost.
  Scenario: A quarantine is written again after the store has lost it
    Given 8 instances that share a store
    When all of them learn of the quarantine of "x" and 10 s pass
    And the store loses its rows and 10 s pass
    Then the store has been written 2 times

  # Guards against a quarantine whose end moves with each restart.
  Scenario: A stored quarantine ends at the same time on all instances
    Given 8 instances that share a store
    When all of them learn of the quarantine of "x" and 100 s pass
    And an instance with another clock starts
    Then the part "x" is refused there for 500 s

  # Guards against rows that stay for ever.
  Scenario: A forgotten quarantine is removed from the store
    Given 8 instances that share a store
    When all of them learn of the quarantine of "x" and 1210 s pass
    Then the store has no rows

  # Guards against a reader that stops at a row that it cannot read.
  Scenario: An invalid row is ignored
    Given 8 instances that share a store
    And the store has an invalid row for "a"
    When all of them learn of the quarantine of "x" and 10 s pass
    And an instance with another clock starts
    Then the part "x" is refused there for 590 s
