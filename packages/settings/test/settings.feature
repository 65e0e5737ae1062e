@settings
Feature: Settings of a node
  One INI file gives the settings; every problem in it is said at once.

  Scenario: A short file of an entry takes the defaults
    Given a settings file with the shortest right text for the role "entry"
    When the settings file is read
    Then the settings are right
    And the setting "callerPort" is 7100
    And the setting "stopLimitMs" is 30000

  Scenario: A gate has its targets
    Given a settings file with the shortest right text for the role "gate"
    When the settings file is read
    Then the settings are right
    And the gate has the target "writer.1" of kind "engine" with 8 requests at once

  Scenario Outline: A wrong line is named with its place
    Given a settings file with the shortest right text for the role "<role>"
    And its line "<line>" becomes "<wrong>"
    When the settings file is read
    Then the only settings problem is "<problem>"

    Examples:
      | role  | line                       | wrong                     | problem                                                                                                          |
      | entry | stop-limit-ms = 30000      | stop-limit-ms = 5         | node.ini:4: [node] stop-limit-ms: found "5", expected ms: 100 to 900000                                           |
      | entry | stop-limit-ms = 30000      | stop-limt-ms = 5          | node.ini:4: [node] stop-limt-ms: found an unknown key, expected one of name, availability-zone, stop-limit-ms (did you mean stop-limit-ms?) |
      | entry | stop-limit-ms = 30000      | name = b                  | node.ini:4: [node] name: found the key again, expected one line for each key; line 2 gives it too                |
      | entry | availability-zone = z1     |                           | node.ini: [node] availability-zone: found nothing, expected name: 1 to 63 of A-Z a-z 0-9 . _ -, first a letter or digit |
      | entry | stop-limit-ms = 30000      | [nod]                     | node.ini: [nod]: found an unknown section, expected a section of the role entry: node, link, operator, platform, metrics, routing, caller (did you mean node?) |
      | entry | stop-limit-ms = 30000      | [caller] \nlisten-port = 7102 | node.ini: [caller] listen-port: found "7102", expected another port than [operator] listen-port               |
      | gate  | kind = engine              | kind = motor              | node.ini:14: [target.writer.1] kind: found "motor", expected word: engine, pool, service                          |
      | gate  | kind = engine              | kind = engine \ncold-in-flight-limit = 9 | node.ini: [target.writer.1] cold-in-flight-limit: found "9", expected at most in-flight-limit, which is 8 |

  Scenario: Every problem is said at once
    Given a settings file with the text "[node]\nname = a b\n[metrics]\nport = x\n"
    When the settings file is read
    Then 7 settings problems are said

  Scenario: Keys are never printed
    Given any settings file with a key anywhere in its text
    Then no settings problem holds 16 digits of that key in a row

  Scenario: No text breaks the reader
    Given any settings file of arbitrary lines
    Then it is read as settings or as problems

  Scenario: The page for operators has the same rows as the code
    When the page of settings is read
    Then it has a row for each setting
