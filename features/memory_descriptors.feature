Feature: Callers cannot use up the descriptors that a process may open
  As in memory_callers.feature; the process itself may open fewer descriptors
  than its settings say.

  # Guards against a process that can open neither a caller's connection nor one
  # to a runner.
  Scenario: A crowd of silent heads at a process with a limit of its own
    Given a gateway process that may open 350 descriptors, with settings for 8192
    When a crowd of 500 sends heads without an end
    Then the process has used less than 128 MB and 350 descriptors
    And an ordinary request is answered
