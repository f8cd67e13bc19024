Feature: A shutdown of the gateway answers each request or refuses it at once
  The balancer needs up to 2 s to notice a shutdown. Requests that arrive
  later, on connections that are still open, must not be interrupted.

  Scenario: A late stream whose route had only a few short answers is refused
    Given a site with a runner of each service
    When 3 callers send GET /stream/one
    Given the runner "model-1" takes 1 seconds
    When a shutdown begins while a caller waits for a stream
    And callers send GET /stream/two 2 s and 2.8 s later
    Then the second one gets 503 immediately and may retry at another instance

  Scenario: A connection without a request is closed before the drain
    Given a site with a runner of each service
    And the runner "model-1" takes 1 seconds
    When a shutdown begins while a caller waits for a stream
    Then an idle connection is closed between 2.2 s and 2.9 s later

  # Guards against requests that are sent after a long answer, on a connection
  # that the shutdown has not closed, and are then interrupted.
  Scenario Outline: A connection is closed at the end of its answer: <case>
    Given a site with a runner of each service
    And the runner "<runner>" takes <seconds> seconds
    When a shutdown begins during the answer to <request>
    Then the answer is complete and the connection ends with it

    Examples:
      | case                       | runner  | seconds | request                           |
      | begun before, ends in it   | model-1 | 0.8     | the rest of GET /stream/1 HTTP/1.1 |
      | ends before the drain      | model-1 | 0.3     | the rest of GET /stream/1 HTTP/1.1 |
      | begun in the shutdown      | plain-1 | 1       | GET /safe/1 HTTP/1.1              |
      | HTTP/1.0 with its length   | plain-1 | 1       | GET /safe/1 HTTP/1.0              |
      | HTTP/1.0 without a length  | model-1 | 0.8     | the rest of GET /stream/1 HTTP/1.0 |

  # Guards against a shutdown that ends, as no request is in progress, although
  # one is being received.
  Scenario: A request whose body arrives during the drain is answered
    Given a site with a runner of each service
    When a caller sends the head of a request, and the body 2.8 s into a shutdown
    Then the late request gets 200

  # Guards against requests that run although their connection was closed as
  # idle, because the server had read them and not yet handled them.
  Scenario: Closing the idle connections loses no request that was read
    When idle connections are closed up to 8 steps of the loop after a request
    Then each request was answered

  # Guards against requests that run after their connection was closed.
  Scenario: A request that follows an announced close is not served
    Given a site with a runner of each service
    And the runner "plain-1" takes 0.3 seconds
    When a caller sends two orders at once and a shutdown begins
    Then one order has run, the other has no answer

  Scenario: Each request that still waits at the end gets an answer
    Given a site with a runner of each service
    And the runner "plain-1" takes 20 seconds
    And the runner "stage-1" takes 20 seconds
    When a shutdown ends while callers wait for GET /safe/one and GET /staged/one
    Then the first gets 502, and the second 503 as no runner has its request

  Scenario Outline: Whether a request can be answered in time: <case>
    Given a shutdown that began <age> s ago, with 2.5 s of notice of its 7.2 s
    And <runs> runs of a route that took up to <longest> s, <mean> s on average
    When a request with <left> s left, sent <sent> s after the signal, needs <stages> s for its stages
    Then the shutdown check says <decision>

    Examples:
      | case                                   | age | runs | longest | mean | left | sent | stages | decision |
      | its deadline ends before the shutdown  | 3   | 0    | 0       | 0    | 4    | 3    | 0      | accepted |
      | few runs, sent late                    | 3   | 5    | 0.1     | 0.1  | 20   | 3    | 0      | refused  |
      | few runs, sent before the notice       | 2   | 5    | 0.1     | 0.1  | 20   | 2    | 0      | accepted |
      | short runs, sent late                  | 3   | 40   | 1       | 0.5  | 20   | 3    | 0      | accepted |
      | short runs, sent late, stages ahead    | 3   | 40   | 1       | 0.5  | 20   | 3    | 3      | refused  |
      | one long run among many, sent late     | 3   | 40   | 3       | 0.5  | 20   | 3    | 0      | refused  |
      | one long run, sent before the notice   | 3   | 40   | 3       | 0.5  | 20   | 2    | 0      | accepted |
      | its stages ended too late              | 7   | 40   | 3       | 0.5  | 20   | 2    | 0      | refused  |

  # Guards against accepting a large request by the times of small ones, which
  # the end of the shutdown then interrupts.
  Scenario Outline: The size of a request counts for its time: <case>
    Given a shutdown that began 4 s ago, with 2.5 s of notice of its 7.2 s
    And runs of a route, with their sizes: <runs>
    When a request of size <size> is sent <sent> s after the signal
    Then the shutdown check says <decision>

    Examples:
      | case                                  | runs                               | size    | sent | decision |
      | larger than all runs                  | 24 of 100/80 in 1 s                | 100/360 | 4    | refused  |
      | larger, sent before the notice        | 24 of 100/80 in 1 s                | 100/360 | 2    | refused  |
      | larger by its prompt only             | 24 of 100/80 in 1 s                | 900/80  | 4    | refused  |
      | as large as the runs                  | 24 of 100/80 in 1 s                | 100/80  | 4    | accepted |
      | a little larger                       | 24 of 100/80 in 1 s                | 100/110 | 4    | accepted |
      | smaller than all runs                 | 24 of 100/80 in 1 s                | 50/10   | 4    | accepted |
      | small, beside longer runs of large    | 24 of 100/20 in 0.5; 24 of 100/800 in 6 | 100/20  | 4 | accepted |
      | large, beside shorter runs of small   | 24 of 100/20 in 0.5; 24 of 100/800 in 6 | 100/800 | 4 | refused  |
      | large but quick, as measured          | 24 of 100/20 in 0.5; 24 of 100/800 in 1 | 100/800 | 4 | accepted |
      | runs without what the request has     | 24 of 100/0 in 0.1                 | 100/80  | 4    | refused  |
      | requests without any size             | 24 of 0/0 in 1                     | 0/0     | 4    | accepted |
