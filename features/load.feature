Feature: The load tool reports exactly what callers observed

  Scenario Outline: A seed fixes the planned load, and the load has the requested rate
    When <rate> requests a second are planned for <seconds> seconds twice
    Then both plans are equal
    And the plan has between <least> and <most> requests

    Examples:
      | rate | seconds | least | most |
      | 50   | 40      | 1800  | 2200 |
      | 5    | 100     | 400   | 600  |

  Scenario: A burst raises the offered rate only while it lasts
    When 50 requests a second are planned for 40 seconds with bursts of 4 times for 1 second every 5
    Then seconds within bursts have about 4 times the requests of other seconds

  Scenario Outline: Events are parsed regardless of chunk boundaries
    When the events are fed in chunks of <size> bytes
      """
      event: token
      id: 1
      data: {"text": "a"}

      event: end
      data: {"tokens": 1}


      """
    Then the events token and end are parsed

    Examples:
      | size |
      | 1    |
      | 7    |
      | 1000 |

  Scenario Outline: The verdict depends on the received bytes alone
    Given an upstream that answers a <kind> with <answer>
    When a caller sends it one request
    Then the verdict is <verdict> with the code "<code>"

    Examples:
      | kind     | answer              | verdict | code            |
      | pipeline | its own answer      | whole   |                 |
      | pipeline | another's answer    | wrong   | not_own         |
      | pipeline | no echo             | wrong   | not_echoed      |
      | pipeline | a refusal           | refused | queue_full      |
      | pipeline | an unknown outcome  | failed  | outcome_unknown |
      | pipeline | a late answer       | late    |                 |
      | pipeline | a closed connection | lost    | connection      |
      | stream   | its own answer      | whole   |                 |
      | stream   | no end event        | wrong   | truncated       |
      | stream   | a wrong digest      | wrong   | truncated       |
      | stream   | an error event      | failed  | outcome_unknown |

  Scenario Outline: An invalid fault script is rejected
    When the fault script <text> is loaded
    Then loading fails with settings_invalid

    Examples:
      | text                              |
      | [{at_s: -1, url: 'http://x'}]     |
      | [{at_s: 1}]                       |
      | [{at_s: 1, url: 'x', method2: 1}] |
      | [                                 |
