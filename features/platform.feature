Feature: The platform's adapters
  Each call returns its answer or a failure that states whether the call may
  have taken effect.

  Scenario: Rows, objects and instances are read back as they were written
    Then the adapters read back what they wrote

  Scenario Outline: <service> while the platform <fault>
    Then a <call> while the platform <fault> fails with <code>, ran <ran>

    Examples:
      | service | call        | fault                  | code                 | ran     |
      | table   | table read  | answers too late       | platform_unavailable | no      |
      | table   | table write | answers too late       | platform_unavailable | unknown |
      | table   | table write | loses the answer       | platform_unavailable | unknown |
      | table   | table write | breaks the connection  | platform_unavailable | unknown |
      | table   | table write | answers 503            | platform_unavailable | unknown |
      | table   | table write | answers 429            | platform_unavailable | no      |
      | table   | table write | does not listen        | platform_unavailable | no      |
      | table   | table write | answers nonsense       | platform_unavailable | unknown |
      | table   | table write | answers too few rows   | platform_unavailable | unknown |
      | table   | table read  | answers nonsense       | platform_unavailable | no      |
      | table   | table read  | answers too few rows   | platform_unavailable | no      |
      | table   | table write | answers 400            | internal             | no      |
      | objects | object put  | answers too late       | platform_unavailable | unknown |
      | objects | object put  | answers 503            | platform_unavailable | unknown |
      | objects | object get  | answers 503            | platform_unavailable | no      |
      | objects | object get  | has no such object     | platform_missing     | no      |
      | list    | list fetch  | answers nonsense       | platform_unavailable | no      |
      | list    | list fetch  | answers too late       | platform_unavailable | no      |

  Scenario Outline: Retry-After is parsed: "<header>"
    Then a 429 with Retry-After "<header>" gives the retry delay <seconds>

    Examples:
      | header | seconds |
      | 3      | 3.0     |
      | 0.5    | 0.5     |
      |        | None    |
      | soon   | None    |
      | nan    | None    |
      | -1     | None    |

  Scenario: A watch gives up a connection that is not established
    Then a watch of 5 s at an address that answers no connection ends within 1 s

  Scenario: The kernel closes a silent connection to the store during a watch
    Then a connection to the store is probed after 1 s and given up 1 s later

  # Guards against using a runner that leaves, as the change of its row was made
  # after its page was read and before the last one was.
  Scenario: A change of a page that was already read is not lost
    Given a table of two pages, of which a row of the first then changes
    When a follower reads the table and its changes
    Then the change of the first page is known
