Feature: Connections to peers are used again
  Only for calls between instances, which may be repeated.

  Scenario: A call that finds its connection closed is sent again
    Given a peer that closes a connection after 2 answers
    When 4 calls are made to the peer one after the other
    Then all calls are answered on 2 connections

  Scenario Outline: No answer is read from a connection that may hold another one: <peer>
    Given a peer that <peer>
    When 2 calls are made to the peer one after the other
    Then all calls are answered on 2 connections

    Examples:
      | peer                             |
      | announces the close in an answer |
      | ends answers with the connection |
      | sends bytes after an answer      |

  Scenario: The connection of a cancelled call is closed
    Given a peer that never answers
    When a call to the peer is cancelled
    Then the peer sees its connection close
