Feature: Membership and gossip
  Entries learn of each other, of configuration versions and of excluded
  upstreams and zones by gossip. The result does not depend on the order of
  messages, and the bytes sent per second are limited.

  Scenario: The order of arrival does not matter
    Then any messages in any order, some twice, lead to the same view
    And no message replaces a fact by an older one

  Scenario: A restart replaces the facts of the previous start
    Given a view that knows start 20 of "entry-1"
    When a late fact with start 10 arrives
    Then the view knows start 20 of "entry-1"
    When a fact with start 30 and a lower heartbeat arrives
    Then the view knows start 30 of "entry-1"

  Scenario: A process raises its start above one reported for its name
    Given a view of "entry-0" with start 20
    When a fact of "entry-0" with start 40 arrives
    Then the view of "entry-0" has a start above 40

  Scenario: A mark is kept when the platform's list reverts to an older state
    Given a view with a leaving mark of "engine-1" up to incarnation 4
    When the list shows the entries in an older state
    And a mark of "engine-1" up to incarnation 3 arrives
    Then the leaving mark of "engine-1" is up to incarnation 4

  Scenario: Silent peers stay known, so that an entry detects a partition
    Given a view with 4 live peers
    When 10 seconds pass without messages
    Then 0 of 4 peers are reachable
    When a list without 2 of them is read 100 seconds later
    Then 0 of 2 peers are reachable

  Scenario: The limit on bytes holds in every second
    Then for any rounds and updates, no second exceeds the byte limit
    And no datagram exceeds its size limit

  # Guards against peers of an earlier version that reject whole messages.
  Scenario: Marks of prompt parts are apart from those that all versions know
    Then each encoded message has only marks of the first kinds in its old list

  Scenario: Hostile datagrams are decoded or rejected
    Then random bytes are decoded as gossip or rejected as malformed
    And mutated messages are decoded as gossip or rejected as malformed
    And every valid message decodes to what was encoded

  Scenario: Hostile peer calls are answered or rejected
    Then random bytes and mutated calls are answered or rejected as malformed

  Scenario Outline: Updates spread within a second
    When gossip of <peers> peers is measured in virtual time
    Then a mark and a version reach all of them within 1.0 s
    And no peer sends more than 7000 bytes in a second

    Examples:
      | peers |
      | 8     |
      | 40    |

  Scenario: Malformed datagrams and those of unknown senders are dropped
    Given two entries that gossip on one event loop
    When 5 malformed datagrams arrive from a peer's address
    And 5 datagrams arrive from an unknown address
    Then the first entry has counted 5 malformed and 5 of unknown senders
    And a mark of the second entry reaches the first

  Scenario: Datagrams queued while a process was frozen are discarded
    Given two entries that gossip on one event loop
    When the first entry's clock has jumped by 5 seconds
    And the second entry sends gossip before the first entry's next round
    Then the first entry discards it

  Scenario: A peer server answers valid calls and rejects others
    Given a peer server with version 7 in force
    Then any host may ask for the version in force
    And only peers may fetch the object of the version
    And a body that is not a call is rejected with status 400
    And a body above the size limit is rejected
    And a call for the object of version 8 fails with "not_ready"

  Scenario: Marks reach entries that are cut off from the platform
    Given three entries, two of them cut off from the platform
    When the list shows an engine as leaving
    Then the other two mark it within 1 s of the first
    When a zone is taken out
    Then the other two have the zone out within 1 s of the first

  Scenario: An entry that is cut off from the platform starts from its peers
    Given three entries, two of them cut off from the platform
    When the list shows an engine as leaving
    And one of the two is killed and started again
    Then it becomes ready with the version of its peers
    And it marks the engine as leaving
