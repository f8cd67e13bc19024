Feature: Callers cannot exhaust the memory of an entry
  As in memory_callers.feature, for the process that serves pipelines.

  # Guards against a process that holds the bodies of all callers at once.
  Scenario Outline: A crowd that sends too much to an entry: <form>
    Given an entry process with 128 MB, 600 descriptors and bodies up to 1500000 bytes
    When a crowd of <count> sends <form>
    Then the process has used less than 128 MB and 400 descriptors
    And an ordinary pipeline request is answered

    Examples:
      | count | form                                |
      | 120   | whole bodies                        |
      | 120   | bodies in pieces                    |
      | 120   | bodies in large chunks              |
      | 120   | bodies in small chunks              |
      | 120   | bodies announced far over the limit |
      | 120   | bodies that go far over the limit   |
      | 500   | heads without an end                |
      | 700   | nothing                             |
