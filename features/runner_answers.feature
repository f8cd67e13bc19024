Feature: Answers of runners that break off
  The runner writes the given bytes as its answer and then closes or resets the
  connection. An answer is framed by its length, by chunks, or, with neither, by
  the close of its connection.

  # Guards against broken answers whose cause the log does not show.
  Scenario Outline: The log tells how an answer ended: <framing>, <sent>, <end>
    Given a site with a runner of each service
    And the log of sends is kept
    And the runner "model-1" sends <sent> framed by <framing>, then a <end>
    When a caller sends POST /staged/one with the pieces "0,0"
    Then the send is logged with the framing <framing> and the ending <ending>
    And the log names <partial> bytes of a partial event and the reason "<reason>"

    Examples:
      | framing | sent                | end   | ending       | partial | reason                                                       |
      | close   | 5 events            | close | closed       | 0       |                                                              |
      | close   | 2 events and a part | close | closed       | 14      | body: ended inside an event                                  |
      | close   | 2 events            | reset | socket_error | 0       | body: Stream is closed: [Errno 104] Connection reset by peer |
      | close   | 2 events and a part | reset | socket_error | 14      | body: Stream is closed: [Errno 104] Connection reset by peer |
      | chunks  | 5 events            | close | complete     | 0       |                                                              |
      | chunks  | 2 events and a part | close | closed       | 14      | body: Stream is closed                                       |
      | length  | 5 events            | close | complete     | 0       |                                                              |
      | length  | 2 events and a part | close | closed       | 14      | body: Stream is closed                                       |

  # Guards against crashes of runners whose common cause the log does not show.
  Scenario Outline: The log tells how far a broken run had come: <sent>
    Given a site with a runner of each service
    And the log of sends is kept
    And the runner "model-1" sends <sent> framed by chunks, then a close
    When a caller sends POST /staged/one with the prompt "a:10,b:20,c:5"
    Then the send is logged with the progress <progress>
    And the log names the prompt parts "a,b" and 35 tokens

    Examples:
      | sent                | progress |
      | 0 events            | head     |
      | 0 events and a part | head     |
      | 2 events and a part | events   |

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

  # Guards against cutting a whole stream that only its connection ends.
  Scenario Outline: A stream that ends after an event is complete: <framing>, <events>
    Given a site with a runner of each service
    And the runner "model-1" sends <events> framed by <framing>, then a close
    When a caller sends POST /staged/one with the pieces "0,0"
    Then the answer is the whole stream

    Examples:
      | framing | events                    |
      | close   | 5 events                  |
      | close   | 5 events with CRLF        |
      | close   | 5 events with CR          |
      | close   | 5 events and a blank line |
      | chunks  | 5 events                  |
      | chunks  | 5 events with CRLF        |
      | length  | 5 events                  |

  # Guards against ending a stream at a runner that never continued it.
  Scenario Outline: A broken stream continues at another runner: <sent>, <end>
    Given a site with a runner of each service
    And a second runner of the service "model"
    And the runner "model-1" sends <sent> framed by <framing>, then a <end>
    When 8 callers send POST /stream/one
    Then each stream has the events 1 to 5 once each

    Examples:
      | framing | sent                | end   |
      | close   | 2 events and a part | close |
      | close   | 2 events            | reset |
      | close   | 0 events            | close |
      | chunks  | 2 events and a part | close |

  # Guards against a broken stream that is ended where nothing continues it.
  Scenario: A stream that no runner continues is cut
    Given a site with a runner of each service
    And a second runner of the service "model"
    And the runner "model-2" cuts streams after 2 events
    And the runner "model-1" sends 0 events framed by close, then a close
    When 8 callers send POST /stream/one
    Then none of the answers looks complete

  # Guards against an event end that is missed where reads split the stream.
  Scenario Outline: Events are complete at any split of the stream: <line end>
    Given a stream of 5 events with <line end>
    When it is split at each place, and into single bytes
    Then all of its bytes are complete events up to the id 5

    Examples:
      | line end |
      | LF       |
      | CRLF     |
      | CR       |

  # Guards against a part of an event that is taken for the whole.
  Scenario: A cut stream is complete only between events
    Given a stream of 5 events with CRLF
    When it is cut at each place
    Then it is complete only after the last line end of an event

  # Guards against a reset that is taken for the end of a plain answer.
  Scenario Outline: A plain answer without a length ends with its connection: <end>
    Given a site with a runner of each service
    And the runner "plain-1" sends a plain answer without a length, then a <end>
    When a caller sends POST /unsafe/one with the key "key-1"
    Then the answer is <status>

    Examples:
      | end   | status |
      | close | 200    |
      | reset | 502    |

  # Guards against a cut answer that an HTTP/1.0 caller takes for a whole one.
  Scenario Outline: A caller that knows no chunks sees how a stream ended: <sent>
    Given a site with a runner of each service
    And the runner "model-1" sends <sent> framed by chunks, then a close
    When an HTTP/1.0 caller sends POST /staged/one and <connection>
    Then its connection ends by a <ending>

    Examples:
      | sent                | connection      | ending |
      | 5 events            | expects a close | close  |
      | 5 events            | asks to keep it | close  |
      | 2 events and a part | expects a close | reset  |
      | 2 events and a part | asks to keep it | reset  |

  # Guards against an answer with an invalid status that reaches the caller, and
  # against one that follows it on the connection.
  Scenario Outline: A runner in trouble answers with the status <status>: <length>
    Given a site with a runner of each service
    And the runner "plain-1" answers with the status <status>, <length>
    When a caller sends POST /unsafe/one with the key "key-1"
    Then the answer is <answer>

    Examples:
      | status           | length           | answer |
      | 000              | with a length    | 502    |
      | 099              | without a length | 502    |
      | 600              | with a length    | 502    |
      | 600              | without a length | 502    |
      | 999              | with a length    | 502    |
      | 000 and then 200 | with a length    | 502    |
      | 099 and then 200 | without a length | 502    |
      | 101 and then 200 | with a length    | 502    |
      | 150 and then 200 | with a length    | 502    |
      | 100 and then 200 | with a length    | 200    |
      | 103 and then 200 | without a length | 200    |

  # Guards against a call of a stage whose pieces are taken from an answer with
  # an invalid status.
  Scenario: A stage runner answers with the status 600
    Given a site with a runner of each service
    And the runner "stage-1" answers with the status 600, with a length
    When a caller sends POST /staged/one with the pieces "1,0"
    Then the answer is 503

  # Guards against a part of an answer that looks complete because the reset of
  # its connection was reported to the write of the request.
  Scenario Outline: A reset during an upload breaks an answer without a length: <order>
    Given an upload that the runner answers early with a part, without a length
    When <order>, and then the connection ends
    Then the answer is broken

    Examples:
      | order                                   |
      | the write fails before the head is read |
      | the write fails after the head is read  |
      | the write fails after the part is read  |
      | the read fails after the part is read   |
      | the write waits after the part is read  |
