Feature: A zone that is out receives no new work
  Five seconds after a zone was taken out, nothing new goes there, retries and
  resumes included.

  Scenario: The check fails without the guard "zones"
    Given a trial of the promise "zone out"
    And its processes run without the guard "zones"
    And these faults, one after the other
      | fault |
      | slow table |
    When the trial runs with the seed 1
    Then the check "zone out and leaving" finds a violation

  Scenario: The promise holds under drawn faults
    Given a trial of the promise "zone out"
    When the trial runs with the seeds 1, 2, two at once
    Then no check finds a violation
    And at least 80 requests of each were answered whole

  Scenario: An entry that is frozen during the change
    Callers go on to it; it finds their requests when it is continued, before
    anything that it could learn of the change.

    Given a trial of the promise "frozen entry"
    When the trial runs with the seed 1
    Then no check finds a violation
