Feature: Layout of the code
  Decisions stay apart from everything that waits.

  Scenario: Deciding modules import neither tornado nor a clock
    Given the list of deciding modules
    Then none of them imports any of
      | module   |
      | tornado  |
      | time     |
      | datetime |
      | asyncio  |
      | socket   |

  Scenario: Every failure code has its kind
    Then each failure code has a status and a title
