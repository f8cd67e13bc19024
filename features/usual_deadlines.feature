Feature: Requests that come back are told from new ones
  Callers of a route mostly send the same deadline; who comes back after a
  refusal sends what is left of it.

  Scenario Outline: How old a request is: <case>
    Given <usual> requests with 7000 to 8000 ms left, and <others> with less
    When a request with <left> ms left comes
    Then its caller first asked <age> s ago

    Examples:
      | case                                | usual | others | left | age |
      | a new one                           | 20    | 0      | 8000 | 0   |
      | a new one with a shorter deadline   | 20    | 0      | 7000 | 0   |
      | one that comes back                 | 20    | 5      | 5900 | 2   |
      | one that waits longer than most     | 20    | 5      | 9000 | 0   |
      | too few seen to tell                | 5     | 0      | 5900 | 0   |
      | callers that differ in their times  | 5     | 20     | 5900 | 0   |
