Feature: The gateway on the users' platform
  One gateway runs against stand-ins of the store and of runners that speak
  the platform's protocol.

  Scenario Outline: A request is forwarded unchanged: <path>
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

  Scenario: A request with stages receives the results of the last stage
    Given a site with a runner of each service
    When a caller sends POST /staged/one with the pieces "2,3"
    Then the answer is 200 with the body of the runner
    And the pieces of the second stage had all results of the first as inputs
    And the runner saw the results of the second stage
    And all results were released

  Scenario: A piece that fails is retried
    Given a site with a runner of each service
    And the first 2 pieces fail at "stage-1"
    When a caller sends POST /staged/one with the pieces "2,3"
    Then the answer is 200 with the body of the runner

  Scenario Outline: An unauthorized or unroutable request is refused: <case>
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

  Scenario: A gateway without a configuration refuses and is not ready
    Given a site without a configuration
    When a caller sends GET /safe/one with the key "key-1"
    Then the answer is 503 and no runner saw the request
    And the gateway is not ready

  Scenario: A request refused by a full runner goes to another one
    Given a site with a runner of each service
    And a second runner of the service "plain"
    And the runner "plain-1" is full
    When a caller sends POST /unsafe/one with the key "key-1"
    Then the answer is 200 with the body of the runner

  Scenario: A request that no runner accepted is refused with Retry-After
    Given a site with a runner of each service
    And the runner "plain-1" is full
    When a caller sends POST /unsafe/one with the key "key-1"
    Then the answer is 503 and no runner saw the request
    And the answer has a Retry-After header

  Scenario: A request whose runner closed the connection is not retried
    Given a site with a runner of each service
    And the runner "model-1" cuts streams after 0 events
    When a caller sends POST /staged/one with the key "key-1"
    Then the answer is 502

  Scenario: A resumable stream continues at another runner
    Given a site with a runner of each service
    And a second runner of the service "model"
    And the runner "model-1" cuts streams after 2 events
    And the runner "model-2" cuts streams after 3 events
    When a caller sends POST /stream/one with the key "key-1"
    Then the stream has the events 1 to 5 once each

  Scenario: The results of a resumable stream are released at its start
    Given a site with a runner of each service
    And the runner "model-1" takes 0.2 seconds
    When a caller sends POST /resumable/one with the pieces "2"
    Then the answer is 200 with the body of the runner
    And the results were released 0.5 s before the end of the answer

  Scenario: A resumable stream with stages continues with new results
    Given a site with a runner of each service
    And a second runner of the service "model"
    And the runner "model-1" cuts streams after 2 events
    And the runner "model-2" cuts streams after 3 events
    When a caller sends POST /resumable/one with the pieces "2"
    Then the stream has the events 1 to 5 once each
    And the stages ran 2 times and no runner got more than one request

  Scenario: A request whose inputs are gone runs its stages again
    Given a site with a runner of each service
    And the runner "model-1" finds the inputs of its next request gone
    When a caller sends POST /staged/one with the pieces "1,1"
    Then the answer is 200 with the body of the runner

  Scenario: A stream that is not resumable is cut off, not ended cleanly
    Given a site with a runner of each service
    And the runner "model-1" cuts streams after 2 events
    When a caller sends POST /staged/one with the key "key-1"
    Then the connection closes before the answer is complete

  Scenario: The work for a caller that disconnects is cancelled
    Given a site with a runner of each service
    And the runner "plain-1" takes 2 seconds
    When a caller disconnects once the runner "plain-1" received its GET /safe/one
    Then the runner "plain-1" sees the disconnect within 0.5 seconds

  Scenario: A failed request that is safe to retry goes to another runner
    Given a site with a runner of each service
    And a second runner of the service "plain"
    And the runner "plain-1" answers 500
    When 6 callers send GET /safe/one
    Then all answers are 200

  Scenario: The failure of a request that is not safe to retry is passed on
    Given a site with a runner of each service
    And the runner "plain-1" answers 500
    When a caller sends POST /unsafe/one with the key "key-1"
    Then the answer is 500 with the body of the runner

  # Guards against sending to a runner that was chosen before its exit was known.
  Scenario Outline: A request is not sent to a runner that leaves during the connect: <path>
    Given a site with a runner of each service
    And a second runner of the service "plain"
    When the first runner that is connected to leaves while a caller sends POST <path>
    Then the answer is 200 with the body of the runner
    And the runner that left saw no request

    Examples:
      | path        |
      | /unsafe/one |
      | /safe/one   |

  # Guards against serving every request once the last key has been taken away.
  Scenario Outline: The configuration decides whether keys are needed: <tenants>, <key>
    Given a site with a runner of each service
    When a configuration with the tenants <tenants> is applied, with /safe/ <access>
    And a caller sends GET /safe/one with the key "<key>"
    Then the answer is <status>

    Examples:
      | tenants                              | access  | key   | status |
      | [{"Name": "a", "ApiKeys": []}]       | private | key-1 | 401    |
      | [{"Name": "a", "ApiKeys": []}]       | private | other | 401    |
      | [{"Name": "a"}]                      | private | key-1 | 401    |
      | []                                   | private | key-1 | 401    |
      | none                                 | private | key-1 | 200    |
      | [{"Name": "a", "ApiKeys": []}]       | public  | key-1 | 200    |
      | [{"Name": "a", "ApiKeys": ["other"]}]| private | other | 200    |

  Scenario Outline: A request without a key, with the tenants <tenants>
    Given a site with a runner of each service
    When a configuration with the tenants <tenants> is applied, with /safe/ private
    And a caller sends GET /safe/one with Authorization set to ""
    Then the answer is <status>

    Examples:
      | tenants                        | status |
      | [{"Name": "a", "ApiKeys": []}] | 401    |
      | none                           | 200    |

  Scenario: A revoked key is refused
    Given a site with a runner of each service
    When a caller sends GET /safe/one with the key "key-1"
    And a configuration with another key is applied
    And a caller sends GET /safe/one with the key "key-1"
    Then the answer is 401

  Scenario: A draining runner gets no more requests
    Given a site with a runner of each service
    And the entry of "plain-1" has the state draining
    When a caller sends GET /safe/one with the key "key-1"
    Then the answer is 503 and no runner saw the request

  Scenario: An evacuated zone gets no requests until the evacuation ends
    Given a site with a runner of each service
    And the zone "zone-1" is evacuated
    When a caller sends GET /safe/one with the key "key-1"
    Then the answer is 503 and no runner saw the request
    When the evacuation of the zone "zone-1" ends
    And a caller sends GET /safe/one with the key "key-1"
    Then the answer is 200 with the body of the runner

  Scenario Outline: The gateway serves while the store fails: <case>
    Given a site with a runner of each service
    And the store <case>
    When a caller sends GET /safe/one with the key "key-1"
    Then the answer is 200 with the body of the runner

    Examples:
      | case                |
      | answers 503         |
      | answers 429         |
      | forgets its history |

  Scenario Outline: An invalid row does not affect others: <case>
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

  Scenario: A shutdown interrupts no request that a runner received
    Given a site with a runner of each service
    And the runner "plain-1" takes 1 seconds
    And writes to the store take 0.8 seconds
    When a caller sends GET /safe/one on an open connection as the gateway stops
    Then each request that a runner received got a complete answer

  Scenario: A shutdown refuses requests that it could not finish in time
    Given a site with a runner of each service
    And the runner "plain-1" takes 4 seconds
    When a shutdown begins while a caller waits for GET /safe/one
    And callers send GET /safe/two 2 s and 2.8 s later
    Then the second one gets 503 immediately and may retry at another instance

  Scenario: A shutdown ends readiness at once and completes open requests
    Given a site with a runner of each service
    And the runner "plain-1" takes 1 seconds
    When a shutdown begins while a caller waits for GET /safe/one
    Then the gateway is not ready
    And the waiting caller gets 200 with the header Connection: close
