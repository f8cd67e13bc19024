Feature: Answers without end
  Upstreams in trouble may send bytes without end, in a head or a body, until
  their connection is closed. The stand-in writes from a thread of its own, as
  fast as the gateway reads.

  # Guards against memory and time lost to a runner that never stops sending.
  Scenario Outline: An answer without end is abandoned: <part>
    Given a site with a runner of each service
    And the runner "<name>" sends <part> without end
    When a caller sends POST <path> while another sends GET /none/one
    Then the first answer is a failure within 0.8 s
    And the runner sees the close within 0.8 s
    And the other request is answered within 0.5 s

    Examples:
      | name    | path        | part                    |
      | model-1 | /staged/one | bytes instead of a head |
      | model-1 | /staged/one | a header                |
      | model-1 | /staged/one | interim heads           |
      | model-1 | /staged/one | an unframed event       |
      | model-1 | /staged/one | an event in chunks      |
      | model-1 | /staged/one | a chunk's size          |
      | model-1 | /staged/one | trailers                |
      | plain-1 | /unsafe/one | an unframed answer      |

  # Guards against an event loop that serves one fast stream alone.
  Scenario: Events without end stop at the deadline and delay no other request
    Given a site with a runner of each service
    And the runner "model-1" sends events without end
    When a caller sends POST /staged/one while another sends GET /none/one
    Then the runner sees the close within 1.3 s
    And the other request is answered within 0.5 s

  # Guards against a body in tiny chunks that occupies the event loop.
  Scenario: Reading a body of many chunks lets other tasks run
    Given a connection on which a body of 2000 chunks has arrived
    When the body is read while another task counts its turns
    Then the other task had at least 100 turns

  # Guards against tasks that end with an error which no caller handles, and
  # against memory lost to an answer that never ends.
  Scenario Outline: A call whose answer has no end fails: <client>, <part>
    Given an upstream that sends <part> without end
    When the <client> client calls it
    Then the call fails, and the upstream sees the close within 1.5 s

    Examples:
      | client | part               |
      | report | a header           |
      | report | interim heads      |
      | report | an unframed answer |
      | report | an event in chunks |
      | report | a chunk's size     |
      | engine | a header           |
      | engine | an unframed answer |
      | store  | a header           |
      | store  | an unframed answer |
      | peer   | a header           |
      | peer   | an unframed answer |
      | dump   | a header           |
      | load   | a header           |
