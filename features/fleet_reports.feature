Feature: Reports of peers stay in use until the next one comes
  An instance sends gossip to as many peers a round as its bound on bytes
  allows, so in a large fleet each peer is heard only every few seconds. The
  load: hundreds of instances that admit requests to the same groups.

  # Guards against admission that plans with a part of the work ahead, because
  # reports of peers are dropped before the next ones come.
  Scenario Outline: Admission knows what <count> peers have pledged
    Given <count> peers that pledge 2 pieces each to the same group
    When gossip runs for 12 s, of which <loss> percent is lost
    Then from <known_s> s on the instance counts at least <share> percent of the pieces

    Examples:
      | count | loss | known_s | share |
      | 7     | 0    | 1       | 100   |
      | 24    | 2    | 1       | 95    |
      | 57    | 2    | 3       | 95    |
      | 194   | 2    | 6       | 95    |

  Scenario Outline: Pieces that <count> peers no longer need are not counted
    Given <count> peers that pledge 2 pieces each to the same group
    When gossip runs for 12 s, of which 2 percent is lost
    And the peers withdraw their pledges
    Then after <gone_s> s the instance counts no more than 3 percent of the pieces

    Examples:
      | count | gone_s |
      | 7     | 1.5    |
      | 57    | 2.5    |
      | 194   | 6      |

  # Guards against slow groups that count as nominal between two reports.
  Scenario Outline: The pace of a slow group is known among <count> peers
    Given <count> peers that pledge 2 pieces each to the same group
    When gossip runs for 12 s, of which 0 percent is lost
    Then from <known_s> s on the instance knows the pace of the group

    Examples:
      | count | known_s |
      | 7     | 1       |
      | 57    | 3       |
      | 194   | 6       |

  # Guards against pledges that reach each peer only every few cycles, because
  # relayed heartbeats have taken the bytes of the datagrams.
  Scenario Outline: Each datagram among <count> peers has all pledges
    Given an instance with <count> live peers, 8 pledges, 4 shares and a pace
    When it packs 200 datagrams of <bytes> bytes
    Then each of them has all 8 pledges and the pace
    And each peer's heartbeat is in at least one of <window> datagrams

    Examples:
      | count | bytes | window |
      | 24    | 450   | 4      |
      | 57    | 700   | 6      |
      | 194   | 700   | 20     |
