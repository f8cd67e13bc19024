Feature: Callers cannot exhaust the memory of a gateway
  Each scenario starts a gateway process whose settings give it 128 MB and 600
  descriptors. A crowd of callers then sends as much as it can and stays. Only
  the life of the process, its peak memory, its descriptors and one ordinary
  request are checked, as these do not depend on the speed of the machine.

  # Guards against a process that holds the bodies of all callers at once and
  # is killed as its machine has no memory left.
  Scenario Outline: A crowd that sends too much: <form>
    Given a gateway process with 128 MB, 600 descriptors and bodies up to 1500000 bytes
    When a crowd of <count> sends <form>
    Then the process has used less than 128 MB and 400 descriptors
    And an ordinary request is answered

    Examples:
      | count | form                               |
      | 120   | whole bodies                       |
      | 120   | bodies in pieces                   |
      | 120   | bodies in large chunks             |
      | 120   | bodies in small chunks             |
      | 120   | bodies announced far over the limit |
      | 120   | bodies that go far over the limit  |
      | 500   | heads without an end               |
      | 120   | many requests without reading      |
      | 700   | nothing                            |

  # Guards against answers that pile up for callers that do not read them.
  Scenario Outline: A crowd that hardly reads: <form>
    Given a gateway process with 128 MB, 600 descriptors and bodies up to 1500000 bytes
    When a crowd of <count> hardly reads <form>
    Then the process has used less than 128 MB and 400 descriptors
    And an ordinary request is answered

    Examples:
      | count | form          |
      | 120   | large answers |
      | 120   | large streams |
