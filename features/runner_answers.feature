Feature: Answers of runners that break off
  A runner may end an answer early or send bytes that never end. The answer of
  a runner that stands in for it is written byte by byte.

  Scenario Outline: The log tells how an answer ended: <framing>, <sent>, <end>
    Given a site with a runner of each service
    And the log of sends is kept
    And the runner "model-1" sends <sent> framed by <framing>, then a <end>
    When a caller sends POST /staged/one with the pieces "0,0"
    Then the send is logged with the framing <framing> and the ending <ending>
    And the log names <partial> bytes of a partial event and the reason "<reason>"

    Examples:
      | framing | sent                | end   | ending       | partial | reason                                                    |
      | close   | 5 events            | close | closed       | 0       |                                                           |
      | close   | 2 events            | reset | socket_error | 0       | body: Stream is closed: [Errno 104] Connection reset by peer |
      | close   | 2 events and a part | reset | socket_error | 14      | body: Stream is closed: [Errno 104] Connection reset by peer |
      | chunks  | 5 events            | close | complete     | 0       |                                                           |
      | chunks  | 2 events and a part | close | closed       | 14      | body: Stream is closed                                    |
      | length  | 5 events            | close | complete     | 0       |                                                           |
      | length  | 2 events and a part | close | closed       | 14      | body: Stream is closed                                    |

  # Guards against a broken stream that its caller takes for a whole one.
  Scenario Outline: A stream that breaks off never looks complete: <framing>, <sent>, <end>
    Given a site with a runner of each service
    And the runner "model-1" sends <sent> framed by <framing>, then a <end>
    When a caller sends POST /staged/one with the pieces "0,0"
    Then the answer does not look complete

    Examples:
      | framing           | sent                | end   |
      | close             | 2 events and a part | close |
      | close             | 0 events and a part | close |
      | close             | 0 events            | close |
      | close             | 2 events            | reset |
      | close             | 2 events and a part | reset |
      | close             | 0 events            | reset |
      | chunks            | 2 events            | close |
      | chunks            | 2 events and a part | close |
      | ended chunks      | 2 events and a part | close |
      | half-ended chunks | 2 events            | close |
      | chunks            | 2 events            | reset |
      | length            | 2 events            | close |
      | length            | 2 events and a part | close |
      | length of all     | 2 events and a part | close |
