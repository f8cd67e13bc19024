Feature: Runners whose memory for results is short
  Results occupy memory until the next stage has used them. What a group of
  runners can carry then depends on how the calls share that memory.

  # Guards against runners that are idle beside waiting pieces because memory
  # that is free is taken for occupied, or is used up by the first calls: a
  # stage then carries half of what it could, and its requests are late.
  Scenario Outline: A runner is busy while a full batch waits: <case>
    Given a group of 2 runners with memory for <results> results each
    When requests with 6 pieces arrive for 5 s, more than the runners can carry
    And each result is released <used> s after it was made
    Then the runners are idle for at most 0.1 of the time in which a full batch waits
    And each makes at least 0.85 of <most> pieces a second

    # A call of n pieces takes 0.2 s and 0.0029 s for each, and its results stay
    # for that time, the time until they are used, and 0.02 s. Calls of 43 pieces
    # one after the other use all of the memory in the first case; else full
    # ones have room.
    Examples:
      | case                                  | results | used | most |
      | the next stage waits for a runner     | 133     | 0.65 | 132  |
      | the next stage takes one call         | 133     | 0.4  | 154  |
      | memory for all that a runner can make | 300     | 0.65 | 154  |
