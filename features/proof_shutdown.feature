Feature: A graceful shutdown cuts no request
  All entries are terminated one by one under load, with long streams.

  Scenario: The check fails without the guard "drain"
    Given a trial of the promise "graceful shutdown"
    And its processes run without the guard "drain"
    And these faults, one after the other
      | fault |
      | slow table |
    When the trial runs with the seed 1
    Then the check "graceful shutdown" finds a violation

  Scenario Outline: The promise holds under drawn faults, seed <seed>
    Given a trial of the promise "graceful shutdown"
    When the trial runs with the seed <seed>
    Then no check finds a violation
    And at least 50 of 100 requests were answered whole

    Examples: Seeds
      | seed |
      | 1 |
