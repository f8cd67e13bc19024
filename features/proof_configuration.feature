Feature: An accepted configuration is in force and never reverts
  Probes ask every entry one by one; the platform goes down right after the
  acceptance, and all entries are replaced.

  Scenario: The check fails without the guard "later versions"
    Given a trial of the promise "accepted configuration"
    And its processes run without the guard "later versions"
    And these faults, one after the other
      | fault |
      | slow table |
    When the trial runs with the seed 1
    Then the check "accepted configuration" finds a violation

  Scenario: The promise holds under drawn faults
    Given a trial of the promise "accepted configuration"
    When the trial runs with the seeds 1, 2, two at once
    Then no check finds a violation
    And at least 10 requests of each were answered whole

  Scenario: All entries are replaced while the whole platform is down
    New processes learn of the configuration from each other alone.

    Given a trial of the promise "start in an outage"
    When the trial runs with the seed 1
    Then no check finds a violation
