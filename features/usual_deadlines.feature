Feature: Retries of refused requests are detected by their deadlines
  Most callers of a route send the same deadline. A caller that retries after
  a refusal sends what is left of it.

  Scenario Outline: The estimated age of a request: <case>
    Given <usual> requests with 7000 to 8000 ms left, and <others> with less
    When a request with <left> ms left arrives
    Then its estimated age is <age> s

    Examples:
      | case                             | usual | others | left | age |
      | a new request                    | 20    | 0      | 8000 | 0   |
      | a new request, shorter deadline  | 20    | 0      | 7000 | 0   |
      | a retry                          | 20    | 5      | 5900 | 2   |
      | a longer deadline than most      | 20    | 5      | 9000 | 0   |
      | too few requests seen            | 5     | 0      | 5900 | 0   |
      | callers with different deadlines | 5     | 20     | 5900 | 0   |
