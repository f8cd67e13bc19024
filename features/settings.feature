Feature: Settings
  One file, JSON with comments, validated whole.

  Scenario: The commented sample is valid and shows the defaults
    Then the sample settings are valid
    And what the sample sets beyond the instance and its peers are the defaults

  Scenario: The page of settings is the one that the model writes
    Then docs/SETTINGS.md is what the model writes

  Scenario: Every option has a description
    Then every option of the model has a description

  Scenario: All faults are listed with their paths
    When the settings are the sample with
      | path                    | value        |
      | instance.port           | 70000        |
      | instance.nme            | 'entry-1'    |
      | platform.timeout_s      | -1           |
      | reconciler.lease_margin_s | 0.01       |
      | membership.peers        | ['nowhere']  |
      | log.level               | 'loud'       |
    Then these paths are faults
      | path               |
      | instance.port      |
      | instance.nme       |
      | platform.timeout_s |
      | reconciler         |
      | membership.peers   |
      | log.level          |

  Scenario Outline: Files that are no settings are refused: <what>
    Then a settings file of <what> is refused

    Examples:
      | what           |
      | nothing        |
      | broken JSON    |
      | a list         |
      | Latin-1        |
      | deep nesting   |
      | no file at all |

  Scenario Outline: Each binary checks settings: <binary>
    Then <binary> ends with 0 on the sample and with 1 on broken settings

    Examples:
      | binary                      |
      | damaskpoint.main.sheet      |
      | damaskpoint.main.reconciler |

  Scenario Outline: Each command says what a newcomer can do: <binary>
    Then <binary> has a help text and a version

    Examples:
      | binary                      |
      | damaskpoint.main.sheet      |
      | damaskpoint.main.reconciler |
