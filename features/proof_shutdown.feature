Feature: A graceful shutdown cuts no request
  All entries are terminated one by one under load, with long streams.

  Scenario: The check fails without the guard "drain"
    Given a trial of the promise "graceful shutdown"
    And its processes run without the guard "drain"
    And these faults, in this order
      | fault |
      | slow table |
    When the trial runs with the seed 1
    Then the check "graceful shutdown" finds a violation

  Scenario: The promise holds under drawn faults
    Given a trial of the promise "graceful shutdown"
    When the trial runs concurrently with the seeds 1 and 2
    Then no check finds a violation
    And at least 40 requests of each trial got complete answers
