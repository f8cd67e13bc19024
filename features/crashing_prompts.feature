Feature: A part of prompts that crashes runners
  Runners crash when they begin to answer a prompt with a certain part, which
  ends their other runs too, and come back after a while. Requests with that
  part come to all gateways, with different other parts; sound requests share
  these.

  # Guards against a prompt part that crashes one runner after the other, because
  # nothing links the failures of different requests.
  Scenario: Few requests with a crashing part reach runners
    Given 3 gateways and 8 runners that crash on one part of prompts
    When callers send sound and crashing requests for 8 s
    Then at most 3 crashing requests reach runners later than 3 s after the fifth crash
    And all sound requests sent later than 3 s after the fifth crash are answered whole

  # Guards against a crashing part that is never found, because only runs that
  # break between their head and their first event count, and a first event
  # clears the part.
  Scenario Outline: Requests are refused wherever the answer breaks: after <point>
    Given 5 gateways and 8 runners that send <point> and crash on one part of prompts
    When callers send sound and crashing requests for 8 s
    Then at most 3 crashing requests reach runners later than 3 s after the fifth crash
    And all sound requests sent later than 3 s after the fifth crash are answered whole

    Examples:
      | point            |
      | nothing          |
      | part of an event |
      | events           |

  # Guards against a quarantine that operators cannot explain.
  Scenario: Logs, metrics and the state dump tell which part is refused, and why
    Given 3 gateways and 8 runners that crash on one part of prompts
    And the lines of the log are kept
    When callers send sound and crashing requests for 4 s
    Then the log tells of 4 failures of the part and of its quarantine
    And the log names the part for each refused request
    And the metrics count broken runs and one part in quarantine
    And the state dump has the part with the time left

  # Guards against an instance that begins later and learns of a crashing part
  # only by crashes of its own.
  Scenario: An instance that starts later refuses the part too
    Given 3 gateways and 8 runners that crash on one part of prompts
    When callers send sound and crashing requests for 4 s
    And another gateway starts
    Then it refuses a crashing request without a run

  # Guards against forgetting a crashing part when all instances restart.
  Scenario: The part is refused after all instances have restarted
    Given 3 gateways and 8 runners that crash on one part of prompts
    When callers send sound and crashing requests for 4 s
    And all gateways stop and 2 others start
    Then each of them refuses a crashing request without a run

  # Guards against an answer that lets the caller come back to no avail.
  Scenario: A refused caller is told the part, and not to come back
    Given 3 gateways and 8 runners that crash on one part of prompts
    When callers send sound and crashing requests for 4 s
    Then a crashing request is answered 400, "prompt_quarantined", without Retry-After
    And the answer names the part and when it may be accepted again

  # Guards against refusing sound requests for crashes that no part explains.
  Scenario: Crashes that no part explains make no request be refused
    Given 3 gateways and 8 runners that crash on no part of prompts
    When callers send sound requests for 5 s while runners crash
    Then no request is refused for a part of its prompt
