Feature: A cold upstream receives no more work than its limit
  All engines start cold. Zones restart, warm engines turn cold unannounced,
  lease holders are frozen until after their leases expire, and the table is
  down or slow.

  Scenario: The check fails without the guard "permits"
    Given a trial of the promise "cold start"
    And its processes run without the guard "permits"
    And these faults, in this order
      | fault |
      | kill engine |
    When the trial runs with the seed 1
    Then the check "cold start" finds a violation

  Scenario: The promise holds under drawn faults
    Given a trial of the promise "cold start"
    When the trial runs concurrently with the seeds 1 and 2
    Then no check finds a violation
    And at least 48 requests of each trial got complete answers
