Feature: Rollouts at a gateway
  One gateway runs against stand-ins of the store and of runners of two
  versions.

  # Guards against components that are right apart and not connected.
  Scenario: A good version is completed
    Given a site with rollouts and 2 runners of each of two versions
    When callers send 60 requests a second and a rollout of 8 s is ordered
    Then the status of the rollout is completed within 9 s
    And all requests were answered
    And the old version gets no request after that

  # Guards against a bad version that is only noticed after the switch.
  Scenario: A version that fails requests is rolled back
    Given a site with rollouts and 2 runners of each of two versions
    And the new version answers 500
    When callers send 60 requests a second and a rollout of 12 s is ordered
    Then the status of the rollout is rolled_back within 9 s
    And the new version got at most a tenth of the requests and 50
    And the new version gets no request after that

  # Guards against evidence and reports that do not reach the other instances.
  Scenario Outline: Three gateways end a rollout alike if the version <how>
    Given a site with rollouts and 2 runners of each of two versions
    And 2 more gateways
    And the new version answers <status>
    When callers send 90 requests a second and a rollout of 10 s is ordered
    Then the status of the rollout is <state> within 11 s
    And the <age> version gets no request after that
    And all gateways know the same of the rollout

    Examples:
      | how   | status | state       | age |
      | works | 200    | completed   | old |
      | fails | 500    | rolled_back | new |

  # Guards against canaries without the deployment's consent.
  Scenario: Without the section, versions of runners are ignored
    Given a site without rollouts and 2 runners of each of two versions
    When callers send 60 requests a second for 2 s
    Then both versions got requests
    And the store has no status of a rollout

  # Guards against use of new runners that are started before their order.
  Scenario: Runners of a new version get nothing before the order
    Given a site with rollouts and 2 runners of each of two versions
    When callers send 60 requests a second for 2 s
    Then the new version got no requests

  # Guards against a gateway that forgets a rollback when it starts again.
  Scenario: A gateway that starts after the rollback does not use the version
    Given a site with rollouts and 2 runners of each of two versions
    And the new version answers 500
    When callers send 60 requests a second and a rollout of 12 s is ordered
    Then the status of the rollout is rolled_back within 9 s
    When the gateway is replaced and callers send 60 requests a second for 2 s
    Then the new version gets no request after that

  # Guards against stage groups that mix versions or ignore the rollout.
  Scenario Outline: A rollout of a stage service is <state> if its pieces <how>
    Given a site with rollouts and 2 runners of each of two versions
    And the pieces of the new version <how>
    When callers send 60 stage requests a second and a rollout of <seconds> s is ordered
    Then the status of the rollout is <state> within <limit> s

    Examples:
      | state       | how  | seconds | limit |
      | completed   | work | 8       | 9     |
      | rolled_back | fail | 16      | 17    |

  # Guards against a template that cannot be rendered with or without the bounds.
  Scenario Outline: The settings template is valid <case> bounds of exposure
    When the settings template is rendered <case> bounds of exposure
    Then the rendered settings have rollouts <state>

    Examples:
      | case    | state |
      | with    | on    |
      | without | off   |
