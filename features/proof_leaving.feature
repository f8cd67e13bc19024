Feature: A leaving upstream receives no new work
  Five seconds after an engine was marked as leaving, it gets no new work,
  although the instance list lags and reverts to older states.

  Scenario: The check fails without the guard "leave marks"
    Given a trial of the promise "leaving upstream"
    And its processes run without the guard "leave marks"
    And these faults, in this order
      | fault |
      | fail calls |
    When the trial runs with the seed 1
    Then the check "zone out and leaving" finds a violation

  Scenario: The promise holds under drawn faults
    Given a trial of the promise "leaving upstream"
    When the trial runs concurrently with the seeds 1 and 2
    Then no check finds a violation
    And at least 80 requests of each trial got complete answers
