Feature: The configuration in force in a process
  Versions only increase, and an isolated process stops serving in time.

  Scenario: Claims and fetches in any order never lower the version
    Then 300 random histories of claims never lower the version

  Scenario: A stale read of the platform changes nothing
    Given a follower with version 3 in force
    When a stale read of the platform returns version 2
    Then version 3 is in force
    And its confirmation is not renewed

  Scenario: A peer's higher version is fetched from the platform
    Given a follower with version 1 in force
    And version 2 is accepted, but the table is down
    When a peer offers version 2 confirmed 0.5 seconds ago
    Then version 2 is in force
    And it is ready

  Scenario: With the platform down, a version is fetched from a peer
    Given a follower with version 1 in force
    And version 2 is accepted, but the platform is down
    And a peer has version 2
    When a peer offers version 2 confirmed 0.5 seconds ago
    Then version 2 is in force

  Scenario: A hanging object store does not delay a version
    Given a follower with version 1 in force
    And version 2 is accepted, but the object store hangs
    And a peer has version 2
    When a peer offers version 2 confirmed 0.5 seconds ago
    Then version 2 is in force

  Scenario: An accepted version that an operator pushes is in force at once
    Given a follower with version 1 in force
    And version 2 is accepted, but the platform is down
    When an operator pushes version 2
    Then version 2 is in force
    And it is ready

  Scenario: A pushed version that is lower or corrupt changes nothing
    Given a follower with version 3 in force
    When an operator pushes version 2
    Then version 3 is in force
    When an operator pushes version 4 with a body that does not match
    Then version 3 is in force

  Scenario: A corrupt object is rejected and counted
    Given a follower with version 1 in force
    And version 2 is accepted, but the object store corrupts it
    When it polls the platform
    Then version 1 is in force
    And a fetch that ended as configuration_corrupt is counted

  Scenario: A peer's corrupt object is rejected
    Given a follower with version 1 in force
    And version 2 is accepted, but the platform is down
    And a peer has a corrupt object of version 2
    When a peer offers version 2 confirmed 0.5 seconds ago
    Then version 1 is in force

  Scenario: Listeners are notified of each version that is in force
    Given a follower with version 1 in force
    When version 2 is accepted and polled
    Then its listener was notified of versions 1 and 2

  Scenario: A process that starts during an outage adopts the highest version of its peers
    Given a new follower, while the platform is down
    Then it is not ready
    And a peer has version 2
    When a peer offers version 1 confirmed 60 seconds ago
    And a peer offers version 2 confirmed 50 seconds ago
    And it reaches 4 of 7 peers
    Then version 2 is in force
    And it is ready

  Scenario: A new process that reaches only one outdated peer is not ready
    Given a new follower, while the platform is down
    And a peer has version 1
    When a peer offers version 1 confirmed 60 seconds ago
    And it reaches 1 of 7 peers
    Then version 1 is in force
    And it is not ready

  Scenario Outline: Isolation: <case>
    Given a follower with version 1 in force
    When <seconds> seconds pass without the platform
    And it reaches <reached> of <known> peers
    And a peer's claim of version <claimed> is <age> seconds old
    Then it is <verdict>

    Examples:
      | case                          | seconds | reached | known | claimed | age | verdict   |
      | recently isolated             | 3       | 0       | 7     | 1       | 60  | ready     |
      | isolated                      | 6       | 0       | 7     | 1       | 60  | not ready |
      | isolated with a minority      | 6       | 3       | 7     | 1       | 60  | not ready |
      | platform down for all entries | 600     | 7       | 7     | 1       | 600 | ready     |
      | with a bare majority          | 600     | 4       | 7     | 1       | 600 | ready     |
      | confirmed by a peer           | 600     | 1       | 7     | 1       | 2   | ready     |
      | a peer's stale claim          | 600     | 1       | 7     | 1       | 5   | not ready |
      | the only entry                | 600     | 0       | 0     | 1       | 600 | ready     |
      | higher version not available  | 600     | 7       | 7     | 2       | 1   | not ready |

  Scenario: A process does not trust claims that were buffered while it was frozen
    Given a follower with version 1 in force
    When it is frozen for 20 seconds
    And a peer's claim of version 1 reports an age of 0.3 seconds
    Then it is not ready
    When 1.5 seconds pass with the event loop running
    And a peer's claim of version 1 reports an age of 0.3 seconds
    Then it is ready

  Scenario: A process that was frozen does not trust its earlier reachability
    Given a follower with version 1 in force
    When 30 seconds pass without the platform
    And it reaches 7 of 7 peers
    Then it is ready
    When it is frozen for 20 seconds
    Then it is not ready
    When 0.5 seconds pass with the event loop running
    Then it is not ready
    When 1 seconds pass with the event loop running
    And it reaches 7 of 7 peers
    Then it is ready

  Scenario: A confirmation by a peer saves a read of the platform
    Given a follower with version 1 in force
    When 0.9 seconds pass with the event loop running
    And a peer's claim of version 1 reports an age of 0.1 seconds
    Then no poll is due
    When 1.2 seconds pass with the event loop running
    Then a poll is due

  Scenario: Polls respect Retry-After
    Given a follower with version 1 in force
    When the table answers a poll with 429 and Retry-After 5
    Then no poll is due for 4 seconds

  Scenario: An isolated process never serves beyond the age limit, in any history
    Then 300 random histories of confirmations keep the age limit

  Scenario Outline: An object that does not match its digest is rejected
    When the object of a version is <corruption>
    Then it is rejected as configuration_corrupt

    Examples:
      | corruption              |
      | truncated               |
      | followed by extra bytes |
      | changed in the middle   |
      | the uncompressed text   |
      | a compressed gigabyte   |
