Feature: Changes are in force in time after a silence of the store
  A silent store accepts connections and its kernel acknowledges what is sent,
  but it never answers a call that arrived in the silence. A long watch that
  was sent then hid all changes until its own timeout, long after the store
  was back. The load: a whole fleet whose only link to the store is a watch.

  # Guards against requests that are handled by an old configuration because
  # a watch of it was sent into a silence.
  Scenario Outline: No watch that was sent into a silence delays a change: <case>
    Given a store that is silent from <from> to <to> s
    And versions written at <changes> s
    When an instance follows the store
    Then each version is in force 2 s after it was acknowledged

    Examples:
      | case                                      | from | to   | changes          |
      | a change just before the silence          | 10   | 18.7 | 9.98 18.75 20 22 |
      | a change at its start                     | 10   | 18.7 | 10 18.75 20 22   |
      | a watch that ends within the silence      | 18   | 23   | 25 27 29         |
      | a watch that ends just after its start    | 20.2 | 28.9 | 29 31 33         |
      | a watch that is pending all the time      | 10   | 15   | 15.1 17 19       |
      | a silence shorter than the timeout        | 10   | 10.8 | 9.9 10.9 13      |
      | two silences                              | 10   | 12   | 9.9 12.1 15 18   |

  Scenario: No silence of drawn histories delays a change
    When 150 seeded histories with silences are played
    Then each version is in force 2 s after it was acknowledged

  Scenario: A long silence costs few calls
    Given a store that is silent from 10 to 50 s
    And versions written at 9.9 s
    When an instance follows the store
    Then it makes at most 45 calls to the store
