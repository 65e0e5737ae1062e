@daemon
Feature: Daemon process

  Background:
    Given a daemon whose node needs 40 ms for a graceful shutdown

  Scenario Outline: The command line and the settings are checked before the node starts
    When the daemon is started with "<arguments>"
    Then the daemon exits with <code>
    And the daemon has printed "<text>"
    And its node has not started

    Examples:
      | arguments                           | code | text                                                    |
      | --help                              | 0    | graceful shutdown, at most                              |
      | entry --help                        | 0    | --settings <file>                                       |
      | entry                               | 1    | required option                                         |
      | gat --settings right.ini            | 1    | Did you mean gate                                       |
      | entry --settings right.ini --check  | 0    | right.ini: no problem found.                            |
      | gate --settings right.ini --check   | 6    | right.ini: found no target, expected a section          |
      | entry --settings wrong.ini          | 6    | wrong.ini:2: [node] nam: found an unknown key           |
      | entry --settings none.ini           | 6    | none.ini: cannot be read: no such file                  |

  Scenario: A signal triggers a graceful shutdown
    When the daemon is started with "entry --settings right.ini"
    And the daemon receives SIGTERM
    And 40 ms pass for the daemon
    Then the daemon exits with 0

  # Guards against a node that ends in the middle of its calls when its settings file has a fault.
  Scenario Outline: A reload only reports what the settings file holds
    When the daemon is started with "entry --settings right.ini"
    And its settings file becomes <state> and the daemon is told to read it again
    Then the daemon is still running
    And the daemon has printed "<text>"

    Examples:
      | state   | text                                                              |
      | valid   | right.ini: no problem found; changes apply after a restart.       |
      | invalid | right.ini:2: [node] nam: found an unknown key                     |

  Scenario: The stop limit bounds the graceful shutdown
    Given a daemon whose node needs 900 ms for a graceful shutdown
    When the daemon is started with "entry --settings right.ini"
    And the daemon receives SIGTERM
    And 499 ms pass for the daemon
    Then the daemon is still running
    When 1 ms pass for the daemon
    Then the daemon exits with 2

  Scenario Outline: A second signal ends the daemon at once
    When the daemon is started with "entry --settings right.ini"
    And the daemon receives SIGTERM
    And the daemon receives <signal>
    Then the daemon exits with <code>

    Examples:
      | signal  | code |
      | SIGTERM | 143  |
      | SIGINT  | 130  |

  Scenario: A failure of the node is reported
    Given a daemon whose node fails with "port taken"
    When the daemon is started with "entry --settings right.ini"
    Then the daemon exits with 9
    And the daemon has printed "The node failed: port taken"
