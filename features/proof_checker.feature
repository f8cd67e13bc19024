Feature: The history checker detects violations
  The proof features rely on the checker. Each check accepts a correct history
  and finds the violations in a faulty one; both are written by hand.

  Scenario Outline: <check>: <history>
    Given the history "<history>"
    When it is checked for "<check>"
    Then <count> violations are found

    Examples: At most once
      | check        | history                          | count |
      | at most once | one run of a key                 | 0     |
      | at most once | a key that runs at two upstreams | 1     |

    Examples: Not run is true
      | check           | history                                | count |
      | not run is true | a refused request that never ran       | 0     |
      | not run is true | a refused request that ran             | 2     |
      | not run is true | a refused attempt before one that runs | 0     |

    Examples: Own answers
      | check      | history                       | count |
      | own answer | an answer to the same request | 0     |
      | own answer | an answer to another request  | 1     |
      | own stages | a stage with its own input    | 0     |
      | own stages | a stage with foreign input    | 1     |
      | one answer | an answer to the same request | 0     |
      | one answer | a request without an answer   | 1     |
      | one answer | a request to a killed entry   | 0     |

    Examples: Cold start
      | check      | history                                     | count |
      | cold start | a cold upstream at its limit                | 0     |
      | cold start | a cold upstream above its limit             | 1     |
      | cold start | work just after an unannounced turn to cold | 0     |
      | cold start | work long after an unannounced turn to cold | 1     |

    Examples: Zone out and leaving
      | check                | history                             | count |
      | zone out and leaving | work just after a zone went out     | 0     |
      | zone out and leaving | work long after a zone went out     | 1     |
      | zone out and leaving | work after a zone was taken back in | 0     |
      | zone out and leaving | work at a leaving upstream          | 1     |

    Examples: Accepted configuration
      | check                  | history                             | count |
      | accepted configuration | a version that is in force in time  | 0     |
      | accepted configuration | a version that is in force too late | 1     |
      | accepted configuration | a version that reverts              | 2     |

    Examples: Graceful shutdown
      | check             | history                             | count |
      | graceful shutdown | a clean shutdown                    | 0     |
      | graceful shutdown | a shutdown that cuts a request      | 1     |
      | graceful shutdown | a shutdown that exits with an error | 1     |

    Examples: Orders to engines
      | check             | history                            | count |
      | orders to engines | orders with rising fencing numbers | 0     |
      | orders to engines | an old order after a new one       | 1     |
