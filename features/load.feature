Feature: The load tool tells the truth about what callers saw

  Scenario Outline: The same seed plans the same load at the wanted rate
    When <rate> requests a second are planned for <seconds> seconds twice
    Then both plans are equal
    And the plan has between <least> and <most> requests

    Examples:
      | rate | seconds | least | most |
      | 50   | 40      | 1800  | 2200 |
      | 5    | 100     | 400   | 600  |

  Scenario: A burst raises the offered rate only while it lasts
    When 50 requests a second are planned for 40 seconds with bursts of 4 times for 1 second every 5
    Then the seconds of a burst hold about 4 times the requests of the others

  Scenario Outline: Events are read however they are cut
    When the events are fed in pieces of <size> bytes
      """
      event: token
      id: 1
      data: {"text": "a"}

      event: end
      data: {"tokens": 1}


      """
    Then the events token and end are read

    Examples:
      | size |
      | 1    |
      | 7    |
      | 1000 |

  Scenario Outline: A caller judges what it gets by the bytes alone
    Given an upstream that answers a <shape> with <answer>
    When a caller sends it one request
    Then the verdict is <verdict> with the code "<code>"

    Examples:
      | shape    | answer             | verdict | code            |
      | pipeline | its own answer     | whole   |                 |
      | pipeline | another's answer   | wrong   | not_own         |
      | pipeline | no echo            | wrong   | not_echoed      |
      | pipeline | a true refusal     | refused | queue_full      |
      | pipeline | an unknown outcome | failed  | outcome_unknown |
      | pipeline | a late answer      | late    |                 |
      | pipeline | a cut connection   | lost    | connection      |
      | stream   | its own answer     | whole   |                 |
      | stream   | a missing end      | wrong   | truncated       |
      | stream   | a wrong digest     | wrong   | truncated       |
      | stream   | an error event     | failed  | outcome_unknown |

  Scenario Outline: A script of faults with a fault in itself is refused
    When the script <text> is read
    Then it is refused as settings_invalid

    Examples:
      | text                              |
      | [{at_s: -1, url: 'http://x'}]     |
      | [{at_s: 1}]                       |
      | [{at_s: 1, url: 'x', method2: 1}] |
      | [                                 |
