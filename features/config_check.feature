Feature: A configuration is checked before it is sent
  Each change is made to a valid configuration of two routes, two services and
  two accounts, and sets a field, given by its path, to a JSON value. An index
  of a list inserts an entry. Runners are listed as
  SERVICE:STATE:SLOTS, and "bad" is a runner without fields.

  # Guards against findings on a configuration that is in order.
  Scenario Outline: A valid configuration has no findings: <case>
    When the configuration is checked with <changes>, options <options>
    Then the exit status is 0 and nothing is printed

    Examples:
      | case                     | changes                                             | options                     |
      | without options          | Version=1                                           | none                        |
      | the same again           | Version=1                                           | --against in-force          |
      | the same shares          | Routes.0.Split=[{"Service": "chat", "Weight": 5}]   | --against in-force          |
      | runners of all services  | Version=1                                           | --runners chat,plain        |
      | bodies within the budget | Version=1                                           | --memory-mb 200             |
      | a deadline as long       | Version=1                                           | --caller-deadline chat=3000 |
      | attempts in reach        | Routes.0.MaxAttempts=3                              | --retry-ratio 0.2           |
      | attempts of refusals     | Routes.0.Kind="unsafe"; Routes.0.MaxAttempts=4      | --retry-ratio 0.2           |
      | calls with pieces        | Services.0.ColdPerS=9; Services.0.Pieces={"Batch": 8, "CallMs": 1, "ItemMs": 1, "HeadroomMb": 1, "HandleS": 1} | --runners chat:ready:8,plain |

  # Guards against a rule that stays silent, or names a wrong place.
  Scenario Outline: A finding of a configuration: <code>, <case>
    When the configuration is checked with <changes>, options <options>
    Then the exit status is 1 and the findings are <code> at <places>

    Examples: errors
      | code    | case          | changes              | options                  | places           |
      | invalid | a kind        | Routes.1.Kind="any"  | none                     | Routes.1.Kind    |
      | invalid | not an object | Limits=3             | none                     | Limits           |
      | invalid | a runner      | Version=1            | --runners chat,plain,bad | runners 2 Service |

    Examples: entries without use
      | code                   | case             | changes                                            | options                         | places              |
      | route-shadowed         | the same prefix  | Routes.1.Prefix="/chat/"                           | none                            | Routes.1.Prefix     |
      | route-shadowed         | by the root      | Routes.0.Prefix="/"; Routes.1.Prefix=""            | none                            | Routes.1.Prefix     |
      | route-shadowed         | case of the host | Routes.1.Prefix="/chat/"; Routes.1.Host="HOST-1"   | none                            | Routes.1.Prefix     |
      | prefix-impossible      | no slash         | Routes.0.Prefix="chat"                             | none                            | Routes.0.Prefix     |
      | prefix-impossible      | a query          | Routes.0.Prefix="/chat?a"                          | none                            | Routes.0.Prefix     |
      | host-impossible        | a port           | Routes.0.Host="host-1:80"                          | none                            | Routes.0.Host       |
      | route-without-service  | no target        | Routes.0.Service=null                              | none                            | Routes.0            |
      | service-unknown        | of a route       | Routes.0.Service="char"                            | none                            | Routes.0            |
      | service-unknown        | of a stage       | Routes.0.Stages=[{"Service": "rank"}]              | none                            | Routes.0.Stages.0   |
      | stage-unknown          | no such index    | Routes.0.Stages=[{"Service": "chat", "After": [1]}] | none                           | Routes.0.Stages.0   |
      | stage-cycle            | of two stages    | Routes.0.Stages=[{"Service": "chat", "After": [1]}, {"Service": "chat", "After": [0]}] | none | Routes.0.Stages.0 and Routes.0.Stages.1 |
      | weight-zero            | of a split       | Routes.0.Split=[{"Service": "plain", "Weight": 0}] | none                            | Routes.0.Split      |
      | service-without-runner | none             | Version=1                                          | --runners chat                  | Routes.1            |
      | service-without-runner | draining         | Version=1                                          | --runners chat,plain:draining   | Routes.1            |
      | service-twice          | another entry    | Services.2={"Name": "chat"}                        | none                            | Services.0          |
      | key-twice              | of one account   | Tenants.0.ApiKeys=["key-1", "key-1"]               | none                            | Tenants.0.ApiKeys.0 |
      | key-of-two-accounts    | the last gets it | Tenants.1.ApiKeys=["key-2", "key-1"]               | none                            | Tenants.0.ApiKeys.0 |
      | route-without-key      | no account       | Tenants=[]; Routes.1.Public=true                   | none                            | Routes.0            |

    Examples: limits
      | code                      | case          | changes                                                                      | options                       | places               |
      | objective-over-timeout    | by 1 ms       | Routes.0.SloMs=3001                                                          | none                          | Routes.0.SloMs       |
      | attempts-over-retry-ratio | few retries   | Routes.0.MaxAttempts=4                                                       | --retry-ratio 0.2             | Routes.0.MaxAttempts |
      | attempts-over-retry-ratio | no retries    | Routes.0.MaxAttempts=2                                                       | --retry-ratio 0               | Routes.0.MaxAttempts |
      | timeout-over-deadline     | by 1 ms       | Version=1                                                                    | --caller-deadline chat=2999   | Routes.0.TimeoutMs   |
      | deadline-of-unknown-route | misspelt      | Version=1                                                                    | --caller-deadline char=9000   | --caller-deadline    |
      | body-over-memory          | 200 MB        | Limits.MaxBodyBytes=60000000                                                 | --memory-mb 200               | Limits.MaxBodyBytes  |
      | cold-without-rate         | a cold time   | Services.0.ColdS=5                                                           | none                          | Services.0.ColdPerS  |
      | cold-rate-over-slots      | of an engine  | Services.0.ColdPerS=9; Services.0.Engine={"Slots": 8, "KvCapacityTokens": 1} | none                          | Services.0.ColdPerS  |
      | cold-rate-over-slots      | of a runner   | Services.0.ColdPerS=9                                                        | --runners chat:ready:8,plain  | Services.0.ColdPerS  |

    Examples: differences from the version in force
      | code              | case               | changes                                                    | options            | places                            |
      | version-not-newer | older              | Version=0                                                  | --against in-force | Version                           |
      | goes-elsewhere    | to another service | Routes.0.Service="plain"                                   | --against in-force | host-1/chat/*                     |
      | goes-elsewhere    | to another host    | Routes.0.Host="host-2"                                     | --against in-force | host-1/chat/* and host-2/chat/*   |
      | goes-elsewhere    | a longer prefix    | Routes.2={"Name": "chat", "Host": "host-1", "Prefix": "/chat/b", "Kind": "safe", "TimeoutMs": 3000, "SloMs": 1000, "Service": "plain"} | --against in-force | host-1/chat/b* |
      | terms-changed     | a timeout          | Routes.0.TimeoutMs=2500                                    | --against in-force | host-1/chat/*                     |
      | terms-changed     | a public route     | Routes.1.Public=true                                       | --against in-force | host-1/plain/*                    |
      | limit-changed     | of bodies          | Limits.MaxBodyBytes=1000                                   | --against in-force | Limits.MaxBodyBytes               |
      | key-stops         | removed            | Tenants.1.ApiKeys=[]                                       | --against in-force | Tenants.1.ApiKeys.0 in force      |
      | key-moves         | to an account      | Tenants.0.ApiKeys=[]; Tenants.1.ApiKeys=["key-2", "key-1"] | --against in-force | Tenants.0.ApiKeys.0 in force      |

  # Guards against inputs that are taken for a configuration without findings.
  Scenario Outline: Input that cannot be read: <case>
    When "<content>" is checked with options <options>
    Then the exit status is 2 and nothing is printed

    Examples:
      | case                      | content | options                |
      | not JSON                  | {       | none                   |
      | no version in force       | {}      | --against absent       |
      | an unreachable store      | {}      | --store 127.0.0.1:1    |
      | a list instead of runners | {}      | --runners list         |

  # Guards against a version in force that is read from a wrong row.
  Scenario: The version in force is read from the store
    Given a store with the version in force
    When the configuration is checked with Version=0, options --store here
    Then the exit status is 1 and the findings are version-not-newer at Version

  # Guards against rules for matching that differ from those of the gateway.
  Scenario: Routes are reported exactly if the gateway matches no request to them
    Then on drawn configurations the routes reported are those never found
