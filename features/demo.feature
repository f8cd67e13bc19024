Feature: The demonstration runs

  Scenario: One command sends a request through four stages of two entries' site
    When the demonstration is run
    Then it prints a curl line and the whole answer of these stages
      | stage    |
      | encode   |
      | retrieve |
      | rerank   |
      | generate |
