Feature: The gateway on the users' platform
  One gateway before stand-ins of the store and of runners that speak the
  platform's protocol.

  Scenario Outline: A request goes through unchanged: <path>
    Given a site with a runner of each service
    When a caller sends <method> <path> with the key "key-1"
    Then the answer is 200 with the body of the runner
    And the runner saw the account, its own name and a deadline
    And the runner saw neither the key nor the caller's own account

    Examples:
      | method | path             |
      | GET    | /safe/one?a=b    |
      | POST   | /unsafe/one/two  |
      | POST   | /stream/one      |
      | POST   | /staged/one      |

  Scenario: A request with stages gets the results of the last one
    Given a site with a runner of each service
    When a caller sends POST /staged/one with the pieces "2,3"
    Then the answer is 200 with the body of the runner
    And the pieces of the second stage took all results of the first
    And the runner saw the results of the second stage
    And all results were given up

  Scenario: A piece that fails is made again
    Given a site with a runner of each service
    And the first 2 pieces fail at "stage-1"
    When a caller sends POST /staged/one with the pieces "2,3"
    Then the answer is 200 with the body of the runner

  Scenario Outline: What is not allowed is refused: <case>
    Given a site with a runner of each service
    When a caller sends GET <path> with the key "<key>"
    Then the answer is <status> and no runner saw the request

    Examples:
      | case              | path       | key   | status |
      | an unknown key    | /safe/one  | other | 401    |
      | an unknown route  | /other/one | key-1 | 404    |

  Scenario Outline: A malformed request is refused: <case>
    Given a site with a runner of each service
    When a caller sends GET /safe/one with <header> set to "<value>"
    Then the answer is 400 and no runner saw the request

    Examples:
      | case               | header                    | value  |
      | no id              | Damaskpoint-Request-Id    |        |
      | a deadline of text | Damaskpoint-Deadline-Ms   | soon   |
      | tokens of text     | Damaskpoint-Token-Counts  | a,b    |
      | a prompt of text   | Damaskpoint-Prompt-Prefix | ab:x   |
      | pieces of text     | Damaskpoint-Pieces        | one    |

  Scenario: A gateway that knows no configuration refuses truthfully
    Given a site without a configuration
    When a caller sends GET /safe/one with the key "key-1"
    Then the answer is 503 and no runner saw the request
    And the gateway is not ready

  Scenario: A full runner's request goes to another one
    Given a site with a runner of each service
    And a second runner of the service "plain"
    And the runner "plain-1" is full
    When a caller sends POST /unsafe/one with the key "key-1"
    Then the answer is 200 with the body of the runner

  Scenario: A request that no runner took is refused as not run
    Given a site with a runner of each service
    And the runner "plain-1" is full
    When a caller sends POST /unsafe/one with the key "key-1"
    Then the answer is 503 and no runner saw the request
    And the answer says when to come back

  Scenario: Nothing is said of a request whose answer was cut
    Given a site with a runner of each service
    And the runner "model-1" cuts streams after 0 events
    When a caller sends POST /staged/one with the key "key-1"
    Then the answer is 502

  Scenario: A stream that may be resumed goes on at another runner
    Given a site with a runner of each service
    And a second runner of the service "model"
    And the runner "model-1" cuts streams after 2 events
    And the runner "model-2" cuts streams after 3 events
    When a caller sends POST /stream/one with the key "key-1"
    Then the stream has the events 1 to 5 once each

  Scenario: A stream that may not be resumed ends visibly incomplete
    Given a site with a runner of each service
    And the runner "model-1" cuts streams after 2 events
    When a caller sends POST /staged/one with the key "key-1"
    Then the connection breaks off within the answer

  Scenario: The work for a caller that leaves ends
    Given a site with a runner of each service
    And the runner "plain-1" takes 2 seconds
    When a caller leaves once the runner "plain-1" has its GET /safe/one
    Then the runner "plain-1" sees within 0.5 seconds that nobody waits

  Scenario: A failed request that may be repeated goes to another runner
    Given a site with a runner of each service
    And a second runner of the service "plain"
    And the runner "plain-1" answers 500
    When 6 callers send GET /safe/one
    Then all answers are 200

  Scenario: The failure of a request that may not be repeated is passed on
    Given a site with a runner of each service
    And the runner "plain-1" answers 500
    When a caller sends POST /unsafe/one with the key "key-1"
    Then the answer is 500 with the body of the runner

  Scenario: A key that is taken away is refused on an open connection
    Given a site with a runner of each service
    When a caller sends GET /safe/one with the key "key-1"
    And a version without keys comes into force
    And a caller sends GET /safe/one with the key "key-1"
    Then the answer is 401

  Scenario: A draining runner gets nothing more
    Given a site with a runner of each service
    And the entry of "plain-1" says that it drains
    When a caller sends GET /safe/one with the key "key-1"
    Then the answer is 503 and no runner saw the request

  Scenario: An evacuated zone gets nothing more until it is taken back
    Given a site with a runner of each service
    And the zone "zone-1" is evacuated
    When a caller sends GET /safe/one with the key "key-1"
    Then the answer is 503 and no runner saw the request
    When the zone "zone-1" is taken back
    And a caller sends GET /safe/one with the key "key-1"
    Then the answer is 200 with the body of the runner

  Scenario Outline: The gateway goes on without the store: <case>
    Given a site with a runner of each service
    And the store <case>
    When a caller sends GET /safe/one with the key "key-1"
    Then the answer is 200 with the body of the runner

    Examples:
      | case                |
      | answers 503         |
      | answers 429         |
      | forgets its history |

  Scenario Outline: A bad row harms no other: <case>
    Given a site with a runner of each service
    And the table <table> has a row <key> of <content>
    When a caller sends GET /safe/one with the key "key-1"
    Then the answer is 200 with the body of the runner

    Examples:
      | case                  | table   | key     | content             |
      | no JSON               | servers | other-1 | no JSON             |
      | a runner's half entry | servers | other-2 | {"Service": "plain"} |
      | an unknown state      | servers | other-3 | {"Service": "plain", "Address": "127.0.0.1:1", "Zone": "z", "State": "odd"} |
      | a configuration       | op      | config  | {"Version": 99}     |

  Scenario: A shutdown cuts no request that a runner got
    Given a site with a runner of each service
    And the runner "plain-1" takes 1 seconds
    And writes to the store take 0.8 seconds
    When a caller sends GET /safe/one on an open connection as the gateway ends
    Then each request that a runner saw was answered whole

  Scenario: A shutdown refuses at the end what it could not answer whole
    Given a site with a runner of each service
    And the runner "plain-1" takes 4 seconds
    When the gateway is told to stop while a caller waits for GET /safe/one
    And callers send GET /safe/two 2 s and 2.8 s later
    Then it gets 503 at once, and is told to come back to another instance

  Scenario: A shutdown is not ready at once and ends open requests whole
    Given a site with a runner of each service
    And the runner "plain-1" takes 1 seconds
    When the gateway is told to stop while a caller waits for GET /safe/one
    Then the gateway is not ready
    And the waiting caller gets 200 and is told that the connection closes
