Feature: The configuration in force in a process
  Versions only go up, and a process that is cut off stops in time.

  Scenario: Any order of claims and fetches only raises the version
    Then 300 histories of claims drawn by hypothesis only raise the version

  Scenario: Old reads of the platform change nothing
    Given a follower with version 3 in force
    When the platform shows version 2 again
    Then version 3 is in force
    And its confirmation is not fresher than before

  Scenario: A peer's higher version is fetched from the platform
    Given a follower with version 1 in force
    And version 2 is accepted, but the table is down
    When a peer offers version 2 confirmed 0.5 seconds ago
    Then version 2 is in force
    And it is ready

  Scenario: With the platform down it comes from a peer
    Given a follower with version 1 in force
    And version 2 is accepted, but the platform is down
    And a peer has version 2
    When a peer offers version 2 confirmed 0.5 seconds ago
    Then version 2 is in force

  Scenario: An object store that hangs does not hold a version up
    Given a follower with version 1 in force
    And version 2 is accepted, but the object store hangs
    And a peer has version 2
    When a peer offers version 2 confirmed 0.5 seconds ago
    Then version 2 is in force

  Scenario: An accepted version that an operator hands over is in force at once
    Given a follower with version 1 in force
    And version 2 is accepted, but the platform is down
    When an operator hands over version 2
    Then version 2 is in force
    And it is ready

  Scenario: A version that is handed over late or damaged changes nothing
    Given a follower with version 3 in force
    When an operator hands over version 2
    Then version 3 is in force
    When an operator hands over version 4 with other bytes
    Then version 3 is in force

  Scenario: A corrupt object is refused and counted
    Given a follower with version 1 in force
    And version 2 is accepted, but the object store corrupts it
    When it polls the platform
    Then version 1 is in force
    And a fetch that ended as configuration_corrupt is counted

  Scenario: A peer's corrupt object is refused
    Given a follower with version 1 in force
    And version 2 is accepted, but the platform is down
    And a peer has other bytes for version 2
    When a peer offers version 2 confirmed 0.5 seconds ago
    Then version 1 is in force

  Scenario: Listeners hear each version when it is in force
    Given a follower with version 1 in force
    When version 2 is accepted and polled
    Then its listener has heard versions 1 and 2

  Scenario: A new process starts during an outage from the highest that peers show
    Given a new follower, while the platform is down
    Then it is not ready
    And a peer has version 2
    When a peer offers version 1 confirmed 60 seconds ago
    And a peer offers version 2 confirmed 50 seconds ago
    And it reaches 4 of 7 peers
    Then version 2 is in force
    And it is ready

  Scenario: A new process that reaches one old peer alone is not ready
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
      | case                            | seconds | reached | known | claimed | age | verdict   |
      | just cut off                    | 3       | 0       | 7     | 1       | 60  | ready     |
      | cut off alone                   | 6       | 0       | 7     | 1       | 60  | not ready |
      | cut off with a minority         | 6       | 3       | 7     | 1       | 60  | not ready |
      | platform down for all           | 600     | 7       | 7     | 1       | 600 | ready     |
      | with just more than half        | 600     | 4       | 7     | 1       | 600 | ready     |
      | confirmed through a peer        | 600     | 1       | 7     | 1       | 2   | ready     |
      | a stale claim of a peer         | 600     | 1       | 7     | 1       | 5   | not ready |
      | the only entry there is         | 600     | 0       | 0     | 1       | 600 | ready     |
      | a higher version is out of reach | 600    | 7       | 7     | 2       | 1   | not ready |

  Scenario: A process that was frozen does not trust buffered claims
    Given a follower with version 1 in force
    When it is frozen for 20 seconds
    And a peer's claim of version 1 is 0.3 seconds old by its own account
    Then it is not ready
    When 1.5 seconds pass with the loop turning
    And a peer's claim of version 1 is 0.3 seconds old by its own account
    Then it is ready

  Scenario: A process that was frozen does not trust whom it reached before
    Given a follower with version 1 in force
    When 30 seconds pass without the platform
    And it reaches 7 of 7 peers
    Then it is ready
    When it is frozen for 20 seconds
    Then it is not ready
    When 0.5 seconds pass with the loop turning
    Then it is not ready
    When 1 seconds pass with the loop turning
    And it reaches 7 of 7 peers
    Then it is ready

  Scenario: A confirmation through peers spares the platform reads
    Given a follower with version 1 in force
    When 0.9 seconds pass with the loop turning
    And a peer's claim of version 1 is 0.1 seconds old by its own account
    Then no poll is due
    When 1.2 seconds pass with the loop turning
    Then a poll is due

  Scenario: A platform that asks to come back later is heard
    Given a follower with version 1 in force
    When the table answers a poll with 429 and Retry-After 5
    Then no poll is due for 4 seconds

  Scenario: Never serving what nobody confirmed, in any history
    Then 300 histories of confirmations drawn by hypothesis keep the bound

  Scenario Outline: Only the whole object of a digest is taken
    When the object of a version is <damage>
    Then it is refused as configuration_corrupt

    Examples:
      | damage                   |
      | cut short                |
      | followed by more         |
      | changed in its middle    |
      | its text, not packed     |
      | a gigabyte, packed small |
