Feature: The parts of an entry that decide about its own life

  Scenario Outline: A stage that begins after the confirmation is lost is not sent
    Given an entry whose configuration stops being confirmed <when>
    Then a call gets no ticket, and every ticket is given back

    Examples:
      | when                       |
      | before the call            |
      | while the call has to wait |

  Scenario Outline: A shutdown goes through its phases
    Given a shutdown with 2 s of notice and a limit of 60 s
    When it was begun <age_s> s ago, twice, with <in_flight> requests in flight
    Then its phase is "<phase>" and it is not ready

    Examples:
      | age_s | in_flight | phase    |
      | 1     | 0         | notice   |
      | 1     | 5         | notice   |
      | 3     | 5         | draining |
      | 3     | 0         | stopped  |
      | 59    | 1         | draining |
      | 60    | 1         | stopped  |

  Scenario: A failure behind a side effect says that the request ran
    Given a pipeline whose second of three stages has a side effect
    Then failures after these stages say of the request
      | done | ran     | says    |
      | 0    | no      | no      |
      | 0    | unknown | unknown |
      | 1    | no      | unknown |
      | 1    | unknown | unknown |
      | 2    | no      | yes     |
      | 2    | unknown | yes     |

  Scenario Outline: Right after a stall no call goes out on old knowledge
    Given a loop whose turns were seen at <turns>
    When a list comes that was asked for at <asked>
    Then calls at <now> are <verdict>

    Examples:
      | turns         | asked | now | verdict   |
      | 1.0, 1.5, 2.0 | 0.9   | 2.1 | let out   |
      | 1.0, 6.0      | 0.9   | 6.0 | held back |
      | 1.0, 6.0      | 5.9   | 6.5 | held back |
      | 1.0, 6.0      | 6.1   | 6.5 | let out   |
      | 1.0, 6.0      | 0.9   | 7.9 | held back |
      | 1.0, 6.0      | 0.9   | 8.1 | let out   |
      | 1.0, 6.0, 9.0 | 6.1   | 9.5 | held back |
