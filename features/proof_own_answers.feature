Feature: Every caller gets the whole answer to its own request
  No stage result is lost, doubled or handed to another request. Answers come
  late, crossed or cut; engines and entries are killed in the middle.

  Scenario: The check fails without the guard "identity"
    Given a trial of the promise "own answers"
    And its processes run without the guard "identity"
    And these faults, one after the other
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
    And these faults, one after the other
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
    When the trial runs with the seeds 1, 2, two at once
    Then no check finds a violation
    And at least 24 requests of each were answered whole
