Feature: A gateway obeys what runners say about themselves in their answers
  A runner announces its exit, or asks for a pause, in the headers of any
  answer. Both hold whether or not the store is reachable.

  Scenario Outline: A runner that announced its exit gets no more requests: <case>
    Given a site with a runner of each service
    And a second runner of the service "<service>"
    And the runner "<service>-1" announces its exit
    When 12 callers send GET <path>
    Then all answers are 200
    And the runner "<service>-1" received at most 1 calls
    When the entry of "<service>-1" is written again with the same start
    And 6 callers send GET <path>
    Then the runner "<service>-1" received at most 1 calls
    When the runner "<service>-1" starts again
    Then the gateway uses the runner "<service>-1"

    Examples:
      | case           | service | path        |
      | plain requests | plain   | /safe/one   |
      | stage calls    | stage   | /staged/one |

  Scenario: Peers are told of a runner that announced its exit
    Given a site with a runner of each service
    And a second gateway that knows all runners
    And the runner "plain-1" announces its exit
    When 1 callers send GET /safe/one
    Then the second gateway no longer uses "plain-1" within 2 s

  Scenario Outline: A runner that asked for a pause gets no request until its end: <case>
    Given a site with a runner of each service
    And the runner "<service>-1" is full and asks for a pause of <pause> s
    When 1 callers send GET <path>
    And 8 callers send GET <path>
    Then all answers are 503
    And each answer asks the caller to come back within <pause> s
    And the runner "<service>-1" received at most 1 calls
    When the runner "<service>-1" is no longer full, <pause> s later
    And 1 callers send GET <path>
    Then all answers are 200

    Examples:
      | case           | service | path        | pause |
      | plain requests | plain   | /safe/one   | 1.5   |
      | stage calls    | stage   | /staged/one | 3     |

  Scenario: Requests go to the runners that did not ask for a pause
    Given a site with a runner of each service
    And a second runner of the service "plain"
    And the runner "plain-1" is full and asks for a pause of 1.5 s
    When 12 callers send GET /safe/one
    Then all answers are 200
    And the runner "plain-1" received at most 1 calls

  Scenario Outline: When all of a service's runners end their pause: <case>
    Given the pauses <pauses> of runners a, b and c at 0
    Then at <now> the first pause ends in <left> s, and <usable> may be called

    Examples:
      | case                     | pauses | now | left | usable |
      | one is not paused        | 5 - 3  | 1   | none | b      |
      | all are paused           | 5 4 3  | 1   | 2    | -      |
      | the shortest has ended   | 5 4 3  | 3   | none | c      |
