Feature: At most once, and "not run" is true
  A non-idempotent request runs at most once, over all entries and upstreams,
  whatever is killed, frozen or lost. A refusal that says "not run" is true.

  Scenario: The check fails without the guard "journal"
    Given a trial of the promise "at most once"
    And its processes run without the guard "journal"
    And these faults, in this order
      | fault |
      | drop answers |
      | kill service |
      | kill entry |
    When the trial runs with the seed 1
    Then the check "at most once" finds a violation

  Scenario: The check fails without the guard "unknown outcome"
    Given a trial of the promise "at most once"
    And its processes run without the guard "unknown outcome"
    And these faults, in this order
      | fault |
      | drop answers |
      | drop answers |
      | drop answers |
      | drop answers |
    When the trial runs with the seed 1
    Then the check "not run is true" finds a violation

  Scenario: The promise holds under drawn faults
    Given a trial of the promise "at most once"
    When the trial runs concurrently with the seeds 1 and 2
    Then no check finds a violation
    And at least 24 requests of each trial got complete answers
