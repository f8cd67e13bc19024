Feature: Connections to stage runners that are opened ahead
  Connecting to a runner in another zone takes a round trip, in which the runner
  is idle.

  # Guards against a runner that is idle for a round trip before each call, and
  # against calls on connections that may be closed.
  Scenario Outline: A call after another one: <case>
    Given connections that take <connect> s to open
    When a call is followed by another one <after> s later, and meanwhile <event>
    Then the second call waits <wait> s for its connection
    And <opened> connections were opened and <left> are open after 3 s

    Examples:
      | case                     | connect | after | event                 | wait  | opened | left |
      | while the runner is busy | 0.013   | 0.3   | nothing happens       | 0     | 3      | 2    |
      | a runner in the zone     | 0.001   | 0.3   | nothing happens       | 0.001 | 2      | 2    |
      | much later               | 0.013   | 1.5   | nothing happens       | 0.013 | 4      | 2    |
      | the spare one is closed  | 0.013   | 0.3   | the spare one closes  | 0.013 | 4      | 2    |
      | no connection in reserve | 0.013   | 0.3   | connections fail once | 0.013 | 3      | 2    |

  # Guards against connections that are never closed, as a second call at the
  # same time opens one ahead too.
  Scenario: Two calls at once
    Given connections that take 0.013 s to open
    When two calls are made 0.02 s apart, each on a new connection
    Then 3 connections were opened and 2 are open after 3 s
