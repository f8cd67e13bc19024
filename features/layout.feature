Feature: Layout of the code
  Modules that make decisions are separate from those that wait for I/O.

  Scenario: Decision modules import neither tornado nor a clock
    Given the list of decision modules
    Then none of them imports any of
      | module   |
      | tornado  |
      | time     |
      | datetime |
      | asyncio  |
      | socket   |

  Scenario: Every failure code has a status and a title
    Then each failure code has a status and a title
