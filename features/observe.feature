Feature: Observability for operators
  Each process serves health, readiness, metrics and state on its operators'
  port, and damaskpoint-dump shows the state of any process.

  Background:
    Given a process with an operators' port and the components "queue" and "peers"

  Scenario: Health, readiness and metrics
    Then "/healthz" answers 200
    And "/readyz" answers 503 with the code "not_ready"
    When the process becomes ready
    Then "/readyz" answers 200
    And "/metrics" answers Prometheus text

  Scenario: The dump is bounded
    When the component "queue" has 5000 entries
    Then the state shows 200 entries of "queue" and counts 4800 omitted

  Scenario Outline: The dump's command line
    When damaskpoint-dump runs with <arguments>
    Then its exit status is <status>
    And it writes "<text>"

    Examples:
      | arguments              | status | text              |
      | --json                 | 0      | "is_live": true   |
      | --table                | 0      | entry-1  true     |
      | --part queue           | 0      | "waiting": 3      |
      | --part none            | 4      | queue             |
      | --metrics              | 0      | # TYPE            |
      | --json --table         | 2      | not allowed       |
      | --version              | 0      | 0.                |
      | --help                 | 0      | exit status       |

  Scenario: An unreachable process has its own exit status
    When damaskpoint-dump connects to a port without a listener
    Then its exit status is 3

  Scenario Outline: Log lines
    Then a log line with as_json <as_json> has the format <format>

    Examples:
      | as_json | format |
      | true    | json   |
      | false   | text   |
