Feature: A leaving upstream receives no new work
  Five seconds after an engine was marked, nothing new goes there, though the
  list lags and steps back.

  Scenario: The check fails without the guard "leave marks"
    Given a trial of the promise "leaving upstream"
    And its processes run without the guard "leave marks"
    And these faults, one after the other
      | fault |
      | fail calls |
    When the trial runs with the seed 1
    Then the check "zone out and leaving" finds a violation

  Scenario: The promise holds under drawn faults
    Given a trial of the promise "leaving upstream"
    When the trial runs with the seeds 1, 2, two at once
    Then no check finds a violation
    And at least 80 requests of each were answered whole
