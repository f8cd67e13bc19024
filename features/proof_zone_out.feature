Feature: A zone that is out receives no new work
  Five seconds after a zone was taken out, it gets no new work; retries and
  resumes count as new work.

  Scenario: The check fails without the guard "zones"
    Given a trial of the promise "zone out"
    And its processes run without the guard "zones"
    And these faults, in this order
      | fault |
      | slow table |
    When the trial runs with the seed 1
    Then the check "zone out and leaving" finds a violation

  Scenario: The promise holds under drawn faults
    Given a trial of the promise "zone out"
    When the trial runs concurrently with the seeds 1 and 2
    Then no check finds a violation
    And at least 80 requests of each trial got complete answers

  Scenario: An entry that is frozen during the change
    Callers keep sending to it. When it continues, it reads their requests
    before it can receive any news of the change.

    Given a trial of the promise "frozen entry"
    When the trial runs with the seed 1
    Then no check finds a violation
