Feature: The platform's adapters
  Each call ends in its answer or in a failure that says what may have run.

  Scenario: Rows, objects and instances come back as they were put
    Then the adapters read back what they wrote

  Scenario Outline: <service> while the platform <fault>
    Then a <call> of the platform that <fault> ends as <code>, ran <ran>

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

  Scenario Outline: The time to come back is heard: <header>
    Then a 429 with Retry-After "<header>" says to come back after <seconds>

    Examples:
      | header | seconds |
      | 3      | 3.0     |
      | 0.5    | 0.5     |
      |        | None    |
      | soon   | None    |
      | nan    | None    |
      | -1     | None    |
