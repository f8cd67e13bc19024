Feature: The balancer of the trials follows each entry by itself
  What is known of an entry must not be older than the notice that entries
  give before they close, whatever the other entries do.

  Scenario: An entry that answers late hides nothing of the others
    Given a balancer that watches a prompt entry and one that answers late
    When the prompt entry says that it is not ready
    Then the balancer gives it no request 0.6 s later
