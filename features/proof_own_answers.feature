Feature: Every caller gets the complete answer to its own request
  No stage result is lost, duplicated or given to another request. Answers
  come late, swapped or cut off; engines and entries are killed meanwhile.

  Scenario: The check fails without the guard "identity"
    Given a trial of the promise "own answers"
    And its processes run without the guard "identity"
    And these faults, in this order
      | fault |
      | cross answers |
      | cross answers |
      | cross answers |
      | cross answers |
      | cross answers |
      | cross answers |
    When the trial runs with the seed 1
    Then the check "own answer" finds a violation

  Scenario: The check fails without the guard "end mark"
    Given a trial of the promise "own answers"
    And its processes run without the guard "end mark"
    And these faults, in this order
      | fault |
      | cut streams |
      | cut streams |
      | cut streams |
      | cut streams |
      | cut streams |
      | cut streams |
    When the trial runs with the seed 1
    Then the check "own answer" finds a violation

  Scenario: The promise holds under drawn faults
    Given a trial of the promise "own answers"
    When the trial runs concurrently with the seeds 1 and 2
    Then no check finds a violation
    And at least 24 requests of each trial got complete answers
