Feature: An entry checks its configuration, its shutdown and its event loop

  Scenario Outline: No stage is sent after the configuration is no longer confirmed
    Given an entry whose configuration stops being confirmed <when>
    Then a call gets no ticket, and every ticket is released

    Examples:
      | when                       |
      | before the call            |
      | while the call has to wait |

  Scenario Outline: A shutdown goes through its phases
    Given a shutdown with 2 s of notice and a limit of 60 s
    When it is requested twice, first <age_s> s ago, with <in_flight> requests in flight
    Then its phase is "<phase>" and it is not ready

    Examples:
      | age_s | in_flight | phase    |
      | 1     | 0         | notice   |
      | 1     | 5         | notice   |
      | 3     | 5         | draining |
      | 3     | 0         | stopped  |
      | 59    | 1         | draining |
      | 60    | 1         | stopped  |

  Scenario: A failure after a side effect reports that the request ran
    Given a pipeline whose second of three stages has a side effect
    Then failures after these stages report whether the request ran
      | done | ran     | reported |
      | 0    | no      | no       |
      | 0    | unknown | unknown  |
      | 1    | no      | unknown  |
      | 1    | unknown | unknown  |
      | 2    | no      | yes      |
      | 2    | unknown | yes      |

  Scenario Outline: No call is sent on outdated state right after a stall
    Given an event loop whose iterations were recorded at <iterations>
    When an instance list arrives that was requested at <requested>
    Then calls at <now> are <decision>

    Examples:
      | iterations    | requested | now | decision |
      | 1.0, 1.5, 2.0 | 0.9       | 2.1 | allowed  |
      | 1.0, 6.0      | 0.9       | 6.0 | refused  |
      | 1.0, 6.0      | 5.9       | 6.5 | refused  |
      | 1.0, 6.0      | 6.1       | 6.5 | allowed  |
      | 1.0, 6.0      | 0.9       | 7.9 | refused  |
      | 1.0, 6.0      | 0.9       | 8.1 | allowed  |
      | 1.0, 6.0, 9.0 | 6.1       | 9.5 | refused  |
