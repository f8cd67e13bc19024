Feature: An engine never obeys an older lease holder after a newer one
  The engines ignore fencing numbers. Several sheets are applied in a row,
  lease holders are frozen until after the lease expires, and the table is
  slow, down or loses answers.

  Scenario: The check fails without the guard "lease"
    Given a trial of the promise "overtaken holder"
    And its processes run without the guard "lease"
    When the trial runs with the seed 1
    Then the check "orders to engines" finds a violation

  Scenario: Another lease holder takes over while one is frozen
    Given a trial of the promise "overtaken holder"
    When the trial runs with the seed 1
    Then no check finds a violation

  Scenario: The promise holds under drawn faults
    Given a trial of the promise "orders to engines"
    When the trial runs concurrently with the seeds 1 and 2
    Then no check finds a violation
