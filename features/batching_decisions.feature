Feature: Decisions on the batching instance of a group
  Who batches in the view of one instance, and what it knows of runners.

  # Guards against a process that batches beside the one its peers have chosen.
  Scenario Outline: The candidates of an instance: <case>
    Given an instance that is <phase>, with the peers <serving> serving, <starting> starting and <unheard> unheard
    Then its candidates are <candidates>

    Examples:
      | case                            | phase    | serving | starting | unheard | candidates |
      | it serves                       | SERVING  | a b     | c        | -       | a b own    |
      | it serves alone                 | SERVING  | -       | -        | -       | own        |
      | it has just started             | STARTING | -       | -        | a b     | a b        |
      | it has heard of some            | STARTING | a       | c        | b       | a b        |
      | all start after a loss of power | STARTING | -       | a b      | -       | a b own    |
      | it leaves                       | LEAVING  | a b     | c        | -       | a b        |
      | it leaves as the last one       | LEAVING  | -       | c        | -       | own        |

  # Guards against a process that batches for all groups after its start, and
  # against one that never does as rows of killed instances stay in the list.
  Scenario Outline: A start is over: <case>
    Given a process that knows <catalog> and has heard of <heard> of <listed> listed for <listed_s> s
    Then its start is <state>

    Examples:
      | case                        | catalog | heard | listed | listed_s | state     |
      | all heard                   | runners | 85    | 85     | 0.3      | over      |
      | most heard                  | runners | 68    | 85     | 0.3      | over      |
      | half heard                  | runners | 42    | 85     | 0.3      | not over  |
      | the list has dead instances | runners | 5     | 85     | 3.0      | over      |
      | no other instance           | runners | 0     | 0      | 0.1      | over      |
      | no runners known            | nothing | 85    | 85     | 9.0      | not over  |
      | no list read                | runners | 0     | 0      | -        | not over  |

  # Guards against calls of a whole group that wait for the link or the
  # processor of a small machine while larger ones are there.
  Scenario Outline: The machines that batch for a load: <case>
    Given instances whose machines batch "<rates>" pieces a second
    When all groups make <load> pieces a second
    Then the instances "<selected>" batch

    Examples:
      | case                               | rates                 | load | selected |
      | the large ones bear it             | a=90 b=90 c=10 d=10   | 50   | a b      |
      | one large one bears it             | a=90 b=10 c=10 d=10   | 20   | a        |
      | the large ones do not bear it      | a=90 b=40 c=30 d=10   | 70   | a b c    |
      | nobody bears it                    | a=20 b=10 c=5         | 900  | a b c    |
      | all alike                          | a=10 b=10 c=10        | 1    | a b c    |
      | similar ones                       | a=10 b=6 c=4          | 1    | a b      |
      | unknown ones beside known ones     | a=10 b=0 c=0          | 1    | a        |
      | all unknown                        | a=0 b=0 c=0           | 1    | a b c    |

  # Guards against rates that do not follow the scarcest resource.
  Scenario Outline: What a machine can batch: <case>
    Then a link of <link> Mbit/s and <cores> cores batch <most> times what 10 Mbit/s and 0.5 cores do

    Examples:
      | case           | link | cores | most |
      | a larger link  | 200  | 0.5   | 1    |
      | more processor | 10   | 3     | 1.25 |
      | both           | 200  | 2     | 4    |

  # Guards against orders that are sent to a dead instance again and again, and
  # against one that is avoided for good after a connection broke.
  Scenario Outline: A lost instance is avoided: <case>
    Given an order to an instance fails at 10 and it is last heard of at <heard>
    Then at <now> it is <state>

    Examples:
      | case                            | heard | now  | state       |
      | just lost                       | 10    | 10.5 | avoided     |
      | heartbeats of before its loss   | 10.8  | 15   | avoided     |
      | heard of again                  | 11.1  | 11.2 | a candidate |
      | a listed one, never heard of    | -     | 11.2 | a candidate |

  # Guards against all instances that lost one calling the runners at once.
  Scenario: Direct calls of many instances are spread
    Then the direct calls of 86 instances start at 40 times at least, within 0.2 s

  # Guards against a runner that is called while the calls of another instance
  # occupy it, and against one that is never called again.
  Scenario Outline: A runner with calls of other instances: <case>
    Given a runner with one slot, and <event> at 0
    Then at <at> it is <state>

    Examples:
      | case                                | event                     | at   | state |
      | refused                             | a refusal                 | 0.2  | busy  |
      | refused, the call ahead has ended   | a refusal                 | 0.22 | idle  |
      | refused by a runner of half speed   | a refusal at 200 percent  | 0.4  | busy  |
      | refused, then an answer             | a refusal and an answer   | 0    | idle  |
      | a report of one more call           | an answer with 1,1,1      | 0.2  | busy  |
      | that call has ended                 | an answer with 1,1,1      | 0.22 | idle  |
      | a report of the own call only       | an answer with 1,0,1      | 0    | idle  |
      | an old instance has a call          | a held call of 0.5 s      | 0.4  | busy  |
      | which has ended                     | a held call of 0.5 s      | 0.5  | idle  |

  Scenario Outline: The load in a header: <text>
    Then the load "<text>" is <load>

    Examples:
      | text        | load      |
      | 1,2,1       | 1 2 1 1.0 |
      | 1,0,4,150   | 1 0 4 1.5 |
      |             | none      |
      | 1,2         | none      |
      | 1,x,1       | none      |
      | -1,2,1      | none      |

  # Guards against facts that are lost between the processes.
  Scenario: An order and its answer carry the calls in flight
    Given an order server whose pool hands back all pieces and holds a call of 0.4 s at "r-1"
    When a peer orders 2 pieces and holds a call of 0.3 s at "r-2"
    Then both pieces are handed back, with the call at "r-1" of 0.4 s
    And the pool was told of the call at "r-2" of 0.3 s
