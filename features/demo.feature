Feature: The demonstration runs

  Scenario: One command starts a site with two entries and sends a request through four stages
    When the demonstration is run
    Then it prints a curl command and the complete answer with these stages
      | stage    |
      | encode   |
      | retrieve |
      | rerank   |
      | generate |
