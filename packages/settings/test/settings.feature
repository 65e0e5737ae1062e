@settings
Feature: Settings of a node
  One INI file holds the settings; all problems in it are reported at once.

  Scenario: A minimal file of an entry uses the defaults
    Given a minimal valid settings file for the role "entry"
    When the settings file is read
    Then the settings are valid
    And the setting "callerPort" is 7100
    And the setting "stopLimitMs" is 30000

  Scenario: The settings of a gate contain its targets
    Given a minimal valid settings file for the role "gate"
    When the settings file is read
    Then the settings are valid
    And the gate has the target "writer.1" of kind "engine" with 8 concurrent requests

  Scenario Outline: An invalid line is reported with its location
    Given a minimal valid settings file for the role "<role>"
    And its line "<line>" is replaced by "<invalid>"
    When the settings file is read
    Then the only settings problem is "<problem>"

    Examples:
      | role  | line                       | invalid                   | problem                                                                                                          |
      | entry | stop-limit-ms = 30000      | stop-limit-ms = 5         | node.ini:4: [node] stop-limit-ms: found "5", expected ms: 100 to 900000                                           |
      | entry | stop-limit-ms = 30000      | stop-limt-ms = 5          | node.ini:4: [node] stop-limt-ms: found an unknown key, expected one of name, availability-zone, stop-limit-ms, memory-mb, max-descriptors (did you mean stop-limit-ms?) |
      | entry | stop-limit-ms = 30000      | name = b                  | node.ini:4: [node] name: found a duplicate key, expected each key only once; it is also on line 2                |
      | entry | availability-zone = z1     |                           | node.ini: [node] availability-zone: found nothing, expected name: 1 to 63 of A-Z a-z 0-9 . _ -, first a letter or digit |
      | entry | stop-limit-ms = 30000      | [nod]                     | node.ini: [nod]: found an unknown section, expected a section of the role entry: node, link, operator, platform, metrics, routing, caller (did you mean node?) |
      | entry | stop-limit-ms = 30000      | [caller] \nlisten-port = 7102 | node.ini: [caller] listen-port: found "7102", expected another port than [operator] listen-port               |
      | gate  | kind = engine              | kind = motor              | node.ini:14: [target.writer.1] kind: found "motor", expected word: engine, pool, service                          |
      | gate  | kind = engine              | kind = engine \ncold-in-flight-limit = 9 | node.ini: [target.writer.1] cold-in-flight-limit: found "9", expected at most in-flight-limit, which is 8 |

  Scenario: All problems are reported at once
    Given a settings file with the text "[node]\nname = a b\n[metrics]\nport = x\n"
    When the settings file is read
    Then 7 settings problems are reported

  Scenario: Keys are never printed
    Given any settings file with a key anywhere in its text
    Then no settings problem contains 16 consecutive digits of that key

  Scenario: Any text can be read
    Given any settings file of arbitrary lines
    Then reading it gives settings or problems

  Scenario: The documented settings match the code
    When the documented table of settings is read
    Then it has a row for each setting
