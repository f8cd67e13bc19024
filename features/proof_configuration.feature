Feature: An accepted configuration is in force and never reverts
  Probes call each entry, one request at a time. The platform goes down right
  after a sheet was accepted, and all entries are replaced.

  Scenario: The check fails without the guard "later versions"
    Given a trial of the promise "accepted configuration"
    And its processes run without the guard "later versions"
    And these faults, in this order
      | fault |
      | slow table |
    When the trial runs with the seed 1
    Then the check "accepted configuration" finds a violation

  Scenario: The promise holds under drawn faults
    Given a trial of the promise "accepted configuration"
    When the trial runs concurrently with the seeds 1 and 2
    Then no check finds a violation
    And at least 10 requests of each trial got complete answers

  Scenario: All entries are replaced while the whole platform is down
    New processes can get the configuration only from each other.

    Given a trial of the promise "start in an outage"
    When the trial runs with the seed 1
    Then no check finds a violation
