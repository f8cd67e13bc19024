Feature: A failed pipeline reports correctly whether its request ran
  Once an upstream has run a stage, the answer must not say "not run". A
  side effect that certainly did not happen may still be retried under the
  same idempotency key.

  Scenario Outline: <what>
    Given a pipeline whose second stage has the side effect
    When the journal's open <journal> and the stage "<stage>" <fails>
    Then the answer to the caller has ran "<ran>"
    And the journal is to record "<outcome>"

    Examples: Failures
      | what                                       | journal  | stage  | fails                  | ran     | outcome |
      | The journal fails after a stage has run    | fails    | none   | fails                  | unknown | nothing |
      | The first stage is refused                 | succeeds | first  | is refused             | no      | nothing |
      | The side effect is refused                 | succeeds | effect | is refused             | unknown | no      |
      | The outcome of the side effect is unknown  | succeeds | effect | has an unknown outcome | unknown | unknown |
      | A stage after the side effect fails        | succeeds | last   | is refused             | yes     | answer  |
