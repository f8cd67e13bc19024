Feature: Membership and gossip
  Entries hear of each other, of the configuration and of what removes
  choices, in any order of arrival and within a bound of bytes.

  Scenario: The order of arrival does not matter
    Then any messages in any order, some twice, lead to the same view
    And no message takes a view back

  Scenario: A restart replaces what was known of the start before
    Given a view that knows "entry-1" by its start 20
    When a late fact of its start 10 arrives
    Then "entry-1" is known by its start 20
    When a fact of its start 30 with a lower heartbeat arrives
    Then "entry-1" is known by its start 30

  Scenario: A process defends its own name against an older start
    Given a view of "entry-0" with the start 20
    When a fact of "entry-0" with the start 40 arrives
    Then the view of "entry-0" has a start above 40

  Scenario: A mark outlives a list that goes back
    Given a view that holds a leave mark of "engine-1" up to incarnation 4
    When the list shows the entries in an older state
    And a mark of "engine-1" up to incarnation 3 arrives
    Then the leave mark of "engine-1" is up to incarnation 4

  Scenario: Silent peers stay known, so that a lone entry knows it is cut off
    Given a view that has heard 4 peers
    When 10 seconds pass without a word
    Then 0 of 4 peers are reached
    When a list that lacks 2 of them is read 100 seconds later
    Then 0 of 2 peers are reached

  Scenario: The bound on bytes holds in every second
    Then for any rounds and news no second has more bytes than the bound
    And no datagram is larger than its room

  Scenario: Hostile datagrams do no harm
    Then random bytes are read as gossip or refused as malformed
    And changed messages are read as gossip or refused as malformed
    And every valid message is read as it was written

  Scenario: Hostile peer calls do no harm
    Then random bytes and changed calls are answered or refused as malformed

  Scenario Outline: News spreads within a second
    When gossip of <peers> peers is measured under virtual time
    Then a mark and a version reach all of them within 1.0 s
    And no peer sends more than 7000 bytes in a second

    Examples:
      | peers |
      | 8     |
      | 40    |

  Scenario: Datagrams of strangers and malformed ones are dropped and counted
    Given two entries that gossip in the loop
    When 5 malformed datagrams come from a peer's address
    And 5 datagrams come from an address that is no peer's
    Then the first entry has counted 5 malformed and 5 unknown
    And a mark of the second entry reaches the first

  Scenario: What waited while a process was frozen is not read as new
    Given two entries that gossip in the loop
    When the first entry's clock has jumped by 5 seconds
    And the second entry sends gossip before the first entry's next round
    Then the first entry takes nothing of it

  Scenario: Peer calls answer, refuse and go on
    Given a peer server with version 7 in force
    Then its version in force can be asked for from anywhere
    And the object of the version is given to peers alone
    And a body that is no call is refused with status 400
    And a body above the bound is refused
    And the object of version 8 is refused as "not_ready"

  Scenario: Marks reach entries that the platform does not
    Given three entries, two of which the platform no longer reaches
    When the list shows an engine as leaving
    Then the other two mark it within 1 s of the first
    When a zone is taken out
    Then the other two have the zone out within 1 s of the first

  Scenario: An entry starts from its peers while the platform is down
    Given three entries, two of which the platform no longer reaches
    When the list shows an engine as leaving
    And one of the two is killed and started again
    Then it becomes ready with the version of its peers
    And it marks the engine as leaving
