Feature: A failed pipeline tells the truth about its request
  Once an upstream has run a stage, a refusal is not "not run"; yet an effect
  that certainly did not happen may be tried again under the same key.

  Scenario Outline: <what>
    Given a pipeline whose second stage has the side effect
    When the journal's open <journal> and the stage "<stage>" <fails>
    Then the caller is told ran "<told>"
    And the journal hears ran "<heard>"

    Examples: Failures
      | what                                | journal  | stage  | fails           | told    | heard   |
      | The journal fails after a stage ran | fails    | none   | fails           | unknown | nothing |
      | The first stage is refused          | succeeds | first  | is refused      | no      | nothing |
      | The effect is refused               | succeeds | effect | is refused      | unknown | no      |
      | The effect is doubtful              | succeeds | effect | is doubtful     | unknown | unknown |
      | A stage behind the effect fails     | succeeds | last   | is refused      | yes     | answer  |
