Feature: Gateways order pieces from each other
  Several gateways run in the test process against stand-ins of the store and
  of runners.

  # Guards against orders that peers refuse, as the connection comes from an
  # address that they do not know, and against calls without the batching
  # instance while gateways are stopped and started.
  Scenario: Requests with stages are served while gateways restart in turn
    Given 3 gateways and 4 runners of a stage with calls of 0.1 s
    When callers send POST /staged/ with the pieces "2,3" every 0.03 s while each gateway is replaced by a new one
    Then all answers to the callers are 200
    And no order was lost and no runner was called without the batching instance

  # Guards against machines whose peers do not hear how much they can batch.
  Scenario: Gateways tell each other what their machines can batch
    Given 3 gateways and 2 runners of a stage with calls of 0.1 s, the first one on a large machine
    Then all gateways order from the first one
