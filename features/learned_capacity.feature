Feature: Runners are chosen by the load that they sustain
  Virtual time; the loads are drawn from seeds 1 to 3. "By counts" is the order
  by requests in flight alone, which all services had before.

  Scenario Outline: Load pattern: <pattern>
    Given <instances> instances and the runners of "<runners>"
    When <rate> requests per second arrive for <seconds> s
    Then at most <late> of the requests take longer than <objective> s
    But by counts at least <by counts> of them do

    # Each row guards against requests that wait at a runner that takes them
    # badly while another would take them well.
    Examples:
      | pattern                                              | instances | runners      | rate | seconds | objective | late | by counts |
      | machines are slow at random for half a second        | 6         | noisy        | 100  | 20      | 0.25      | 0.04 | 0.07      |
      | the same, each instance sees few of the answers      | 86        | noisy        | 100  | 20      | 0.25      | 0.08 | 0.05      |
      | demand of three zones swings out of phase            | 40        | zones        | 60   | 34      | 2         | 0.15 | 0.3       |
      | a silent runner is three times slower for good       | 6         | silent slow  | 90   | 20      | 0.25      | 0.03 | 0.07      |
      | the same, each instance has few requests there       | 24        | silent slow  | 90   | 20      | 0.25      | 0.07 | 0.1       |
      | a runner that is three times slower claims otherwise | 6         | slow claims  | 90   | 20      | 0.25      | 0.03 | 0.07      |
      | all requests share one prompt                        | 40        | one prompt   | 20   | 20      | 2         | 0.03 | 0.25      |

  # Guards against prompts that stay away after a peak, and read their parts
  # in a second zone for good.
  Scenario: Load pattern: a peak of one zone passes
    Given 40 instances and the runners of "peak until 10 s"
    When 40 requests per second arrive for 34 s
    Then at least 0.25 of the requests between 3 and 10 s leave their zone
    And at most 0.12 of the requests between 16 and 34 s leave their zone
    And at most 0.02 of the requests take longer than 2 s

  # Guards against prompts that leave large results of their stages behind, and
  # against those that wait where moving them is cheap.
  Scenario Outline: A prompt at a home runner that is <cost> s slower: <case>
    Given a home runner in z1 that costs <cost> s more than one in z2
    Then <share> of 200 prompts with <tokens> shared tokens and <bytes> bytes of results stay

    Examples:
      | case                      | cost  | tokens | bytes  | share       |
      | reading it again is worse | 0.05  | 6300   | 0      | 1 to 1      |
      | a part moves first        | 0.12  | 6300   | 0      | 0.2 to 0.8  |
      | all move                  | 0.25  | 6300   | 0      | 0 to 0      |
      | its results are large     | 0.25  | 6300   | 900000 | 0.9 to 1    |
      | it has no shared part     | 0.05  | 0      | 0      | 0 to 0      |

  # Guards against 86 instances that all send to the one runner that an
  # outdated figure shows as idle, or that is idle as it fails each request.
  Scenario: Load pattern: all instances see one idle runner among four
    Given four runners of which one is idle and three are half full
    When 2000 requests are sent before any figure changes
    Then the idle runner gets at most 0.7 of them and each other at least 0.05

  # Guards against a new order where no deployment asked for it.
  Scenario Outline: Runners that are silent and equal keep their order: <requests>
    Given runners of three zones with drawn loads that tell nothing
    Then <requests> requests have the order by counts in 300 draws

    Examples:
      | requests |
      | prompt   |
      | plain    |

  # Guards against a runner that is avoided after its machine has recovered.
  Scenario: A report that is not renewed is forgotten
    Given four runners of which one reports at 0 that it is five times slower
    Then it gets at most 0.06 of the requests at 0.1 and at least 0.2 at 3.5

  # Guards against a flood of gossip, and against reports that circulate.
  Scenario: Peers are told of slow runners first, and never of old reports
    Given 20 runners that report at 0, of which runner 7 is slow
    Then at 0.1 the reports for peers are 5 and runner 7 is the first
    And at 0.7 there are none
    And a peer that received them at 0.1 with their ages passes none on at 0.7

  Scenario Outline: The header of a runner's load: <text>
    Then the header "<text>" is read as "<load>"

    Examples:
      | text         | load        |
      | 3,1,16       | 3 1 16 None |
      | 3, 1, 16,250 | 3 1 16 250  |
      | 3,1,16,250,9 | 3 1 16 250  |
      | 3,1          | none        |
      | 3,-1,16      | none        |
      | 3,1,x        | none        |
      | 9999999,1,16 | none        |

  # Guards against a header that is read but not used, or not shared.
  Scenario: A gateway shares what a runner reports
    Given a site with a runner of each service
    And a second gateway that knows all runners
    And the runner "plain-1" reports the load "3,1,16,250"
    When 1 callers send GET /safe/one
    Then both gateways know within 2 s that "plain-1" has a pace of 2.5
