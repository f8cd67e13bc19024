Feature: The history checker finds what is wrong
  The proofs rest on the checker. Each check passes a good history, and finds
  the fault of a bad one, both written by hand.

  Scenario Outline: <check>: <history>
    Given the history "<history>"
    When it is checked for "<check>"
    Then <count> violations are found

    Examples: At most once
      | check        | history                          | count |
      | at most once | one run of a key                 | 0     |
      | at most once | a key that runs at two upstreams | 1     |

    Examples: Not run is true
      | check           | history                            | count |
      | not run is true | a refusal of what never ran        | 0     |
      | not run is true | a refusal of what ran              | 2     |
      | not run is true | a refused try before one that runs | 0     |

    Examples: Own answers
      | check      | history                       | count |
      | own answer | an own answer                 | 0     |
      | own answer | an answer to another request  | 1     |
      | own stages | own stages                    | 0     |
      | own stages | a stage with foreign input    | 1     |
      | one answer | an own answer                 | 0     |
      | one answer | a request without an answer   | 1     |
      | one answer | a request to a killed entry   | 0     |

    Examples: Cold start
      | check      | history                            | count |
      | cold start | a cold upstream at its limit       | 0     |
      | cold start | a cold upstream above its limit    | 1     |
      | cold start | work just after a cold turn        | 0     |
      | cold start | work long after a cold turn        | 1     |

    Examples: Zone out and leaving
      | check                | history                         | count |
      | zone out and leaving | work just after a zone went out | 0     |
      | zone out and leaving | work long after a zone went out | 1     |
      | zone out and leaving | work after a zone came back     | 0     |
      | zone out and leaving | work at an upstream that left   | 1     |

    Examples: Accepted configuration
      | check                  | history                      | count |
      | accepted configuration | a version that comes in time | 0     |
      | accepted configuration | a version that comes late    | 1     |
      | accepted configuration | a version that goes back     | 2     |

    Examples: Graceful shutdown
      | check             | history                      | count |
      | graceful shutdown | a clean shutdown             | 0     |
      | graceful shutdown | a shutdown that cuts         | 1     |
      | graceful shutdown | a shutdown that ends badly   | 1     |

    Examples: Orders to engines
      | check             | history                        | count |
      | orders to engines | orders of rising numbers       | 0     |
      | orders to engines | an old order after a new one   | 1     |
