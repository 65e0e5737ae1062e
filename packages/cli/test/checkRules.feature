@operator-cli
@check-rules
Feature: Check of valid rules files
  Guards against rules that look right but can't match, and against differences that nobody intended.

  Background:
    Given a platform with nodes "entry-a" and these accepted rules
      """
      organisation lab key-sha256=b0ca48b73fc767aba23e7a568ef89cd716f2e7fef32762046fae61ac07f2ab1d # asked by Ana
      limit lab requests-per-second=10 in-flight=40 # asked by Ana
      stage draft generate on drafter max-tokens=8 # asked by Ana
      route answer = draft deadline=3s # asked by Ana
      move drafter from=v1 to=v2 by=2026-12-04T12:00:00Z unproven-share=5% # asked by Ana
      """
    And an operators' file "accepted.rules" with the accepted rules

  Scenario Outline: A finding of kind <kind> is reported, and only where it applies
    Given an operators' file "new.rules" with the accepted rules except "<dropped>" and with "<added>"
    When the operator runs "check new.rules --against-active"
    Then galenatiller exits with <code>
    And galenatiller prints "<finding>"
    When the operator runs "check new.rules --against-active --json"
    Then galenatiller exits with <code>
    And galenatiller prints "'kind':'<kind>'" with double quotes
    When the operator runs "check accepted.rules --against-active"
    Then galenatiller exits with 0
    And galenatiller prints exactly "accepted.rules: 5 rules, no problem found, compared with revision 7 by Ana."

    Examples:
      | kind              | dropped             | added                                                       | code | finding |
      | unused-stage      |                     | stage spare encode on encoder # asked by Jo                 | 0    | new.rules:6: notice: found `stage spare` in no route, expected a route that uses it |
      | idle-move         | move                | stage spare encode on encoder # asked by Jo\nmove encoder from=v1 to=v2 by=2026-12-04T12:00:00Z unproven-share=5% # asked by Jo | 5 | new.rules:6: problem: found `move encoder` of a target group without traffic, expected a route with a stage on encoder |
      | no-organisation   | organisation, limit |                                                             | 5    | new.rules:2: problem: found `route answer` in a file without organisations, expected an organisation that can call it |
      | no-route          | route, move         |                                                             | 5    | new.rules:1: problem: found `organisation lab` in a file without routes, expected a route that it can call |
      | unreachable-limit | limit               | limit lab requests-per-second=10 in-flight=41 # asked by Jo | 0    | new.rules:5: notice: found `in-flight=41`, expected at most 40, which `requests-per-second=10` and the longest route deadline of 3s allow |
      | added-rule        |                     | zone north-a out # asked by J{ESC}o                         | 0    | new.rules:6: notice: found `zone north-a out # asked by J?o`, expected no such rule, as accepted |
      | changed-rule      | limit               | limit lab requests-per-second=10 in-flight=39 # asked by Jo\nzone a in # asked by Jo | 0    | new.rules:5: notice: found `limit lab requests-per-second=10 in-flight=39 # asked by Jo`, expected `limit lab requests-per-second=10 in-flight=40 # asked by Ana`, as accepted |
      | removed-rule      | move                |                                                             | 0    | new.rules: notice: found no `move drafter`, expected `move drafter from=v1 to=v2 by=2026-12-04T12:00:00Z unproven-share=5% # asked by Ana`, as accepted |

  Scenario Outline: In an outage of the store the file itself is still checked
    Given an operators' file "no-route.rules" with the accepted rules except "route" and with ""
    And the store fails for operators with "store-unavailable"
    When the operator runs "check <file> --against-active"
    Then galenatiller exits with <code>
    And galenatiller prints "<summary>"
    And galenatiller prints "what differs from the accepted rules is not known"

    Examples:
      | file           | code | summary                                                  |
      | accepted.rules | 4    | accepted.rules: 5 rules, no problem found.               |
      | no-route.rules | 5    | no-route.rules: 4 rules, problems: 2, notices: 1.        |

  Scenario: Without the comparison the command does not connect
    When the operator runs "check accepted.rules"
    Then galenatiller exits with 0
    And galenatiller prints exactly "accepted.rules: 5 rules, no problem found."
    And the platform was not connected
