Feature: Settings
  Options are read from one file of JSON with comments and validated together.

  Scenario: The commented sample is valid and shows the defaults
    Then the sample settings are valid
    And the sample sets all options but the instance and its peers to their defaults

  Scenario: The page of settings is up to date
    Then docs/SETTINGS.md equals the generated page

  Scenario: Every option has a description
    Then every option of the model has a description

  Scenario: All errors are listed with their paths
    When the settings are the sample with
      | path                    | value        |
      | instance.port           | 70000        |
      | instance.nme            | 'entry-1'    |
      | platform.timeout_s      | -1           |
      | reconciler.lease_margin_s | 0.01       |
      | membership.peers        | ['nowhere']  |
      | log.level               | 'loud'       |
    Then the failure lists errors at these paths
      | path               |
      | instance.port      |
      | instance.nme       |
      | platform.timeout_s |
      | reconciler         |
      | membership.peers   |
      | log.level          |

  Scenario Outline: Files without settings are rejected: <what>
    Then a settings file of <what> is rejected

    Examples:
      | what           |
      | nothing        |
      | broken JSON    |
      | a list         |
      | Latin-1        |
      | deep nesting   |
      | no file at all |

  Scenario Outline: Each binary checks settings: <binary>
    Then <binary> exits with 0 for the sample and with 1 for invalid settings

    Examples:
      | binary                      |
      | damaskpoint.main.sheet      |
      | damaskpoint.main.reconciler |

  Scenario Outline: Each command has --help and --version: <binary>
    Then <binary> has a help text and a version

    Examples:
      | binary                      |
      | damaskpoint.main.sheet      |
      | damaskpoint.main.reconciler |
