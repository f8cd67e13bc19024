Feature: The balancer of the trials polls each entry independently
  The known readiness of an entry must not be older than the notice that
  entries give before they close, even if other entries answer late.

  Scenario: An entry that answers late does not delay the checks of others
    Given a balancer that polls a prompt entry and one that answers late
    When the prompt entry reports that it is not ready
    Then the balancer sends it no request 0.6 s later
