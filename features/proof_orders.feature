Feature: An engine never obeys an older holder after a newer one
  The engines ignore fencing numbers. Sheet follows sheet, holders of the
  lease are frozen past its end, the table is slow, down or loses answers.

  Scenario: The check fails without the guard "lease"
    Given a trial of the promise "overtaken holder"
    And its processes run without the guard "lease"
    When the trial runs with the seed 1
    Then the check "orders to engines" finds a violation

  Scenario: A holder that was overtaken while it was frozen
    Given a trial of the promise "overtaken holder"
    When the trial runs with the seed 1
    Then no check finds a violation

  Scenario: The promise holds under drawn faults
    Given a trial of the promise "orders to engines"
    When the trial runs with the seeds 1, 2, two at once
    Then no check finds a violation
