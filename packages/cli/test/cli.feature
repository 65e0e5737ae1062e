@operator-cli
Feature: Command line interface for operators
  Invalid input is reported and changes nothing. Information that can't be obtained is reported as not known.

  Background:
    Given a platform with nodes "entry-a, gate-a, gate-b" and these accepted rules
      """
      stage draft generate on drafter max-tokens=8 # asked by Ana
      zone north-a in # asked by Ana
      """
    And an operators' file "new.rules"
      """
      stage draft generate on drafter max-tokens=8 # asked by Ana
      zone north-a out # asked by Mere
      """

  Scenario: All problems of a rules file are reported without connecting to the platform
    Given an operators' file "bad.rules"
      """
      zone north-a off # asked by Mere
      zone north-b out
      """
    When the operator runs "check bad.rules"
    Then galenatiller exits with 5
    And galenatiller prints "bad.rules:1:14: found `off`, expected one of in, out"
    And galenatiller prints "bad.rules:2:17: found the end of the line, expected `# asked by NAME`"
    And the platform was not connected

  Scenario Outline: Invalid input is reported and changes nothing
    Given an operators' file "bad.rules"
      """
      zone north-a off # asked by Mere
      """
    When the operator runs "<command>"
    Then galenatiller exits with <code>
    And galenatiller prints "<text>"
    And the accepted revision is 7 by "Ana"

    Examples:
      | command                                                       | code | text                                                              |
      | apply bad.rules                                               | 5    | bad.rules:1:14: found `off`, expected one of in, out              |
      | diff none.rules                                               | 5    | none.rules: found no text (no such file), expected a rules file   |
      | aply new.rules                                                | 1    | unknown command 'aply'                                            |
      | apply new.rules --wait 5                                      | 1    | Found 5, expected a duration                                      |
      | zone out north-a                                              | 1    | required option '--asked-by <name>' not specified                 |
      | zone out nort-b --asked-by Mere                               | 5    | expected one of north-a, north-b; did you mean north-b?           |
      | rollout start drafta --from v1 --to v2 --by 2026-12-04T12:00:00Z --asked-by Mere | 5 | command line:1:6: found `drafta`, expected a target group of this file; did you mean drafter? |
      | rollout start drafter --from v1 --to v2 --by noon --asked-by Mere | 5 | found `noon`, expected a UTC time such as `2026-12-04T12:00:00Z` |
      | rollout take-back drafter --asked-by Mere                     | 5    | found no move of drafter in revision 7                            |
      | status --settings none.ini                                    | 6    | none.ini: found no text (no such file), expected settings         |
      | status --settings bad.ini                                     | 6    | [cli] operator-key: found a value that is not shown               |

  Scenario: A difference shows the rules before and after
    When the operator runs "diff new.rules"
    Then galenatiller exits with 0
    And galenatiller prints "- zone north-a in # asked by Ana"
    And galenatiller prints "+ zone north-a out # asked by Mere"
    And galenatiller prints "1 rules differ from revision 7 by Ana."

  Scenario: A change succeeds once it is active at every live node
    When the operator runs "apply new.rules"
    Then galenatiller exits with 0
    And galenatiller prints "revision 8 is accepted and in force at 0 of 3 nodes"
    And galenatiller prints "Revision 8 is accepted and in force at all 3 live nodes."
    And the accepted revision is 8 by "Mere"

  Scenario: Nodes where a change is not active are named
    Given node "gate-b" does not update and node "entry-a" fails with "link-unopened"
    When the operator runs "apply new.rules --wait 2s"
    Then galenatiller exits with 5
    And galenatiller prints "revision 8 is accepted and in force at 1 of 3 nodes"
    And galenatiller prints "gate-b: has revision 7"
    And galenatiller prints "entry-a: not known, no response"

  Scenario: Draining nodes are not waited for
    Given node "gate-b" does not update and is draining
    When the operator runs "apply new.rules --wait 2s"
    Then galenatiller exits with 0
    And galenatiller prints "in force at all 2 live nodes"

  Scenario: A conflict shows the other author's changes and changes nothing
    Given "Jone" publishes revision 8 just before the operator does
      """
      stage draft generate on drafter max-tokens=16 # asked by Jone
      """
    When the operator runs "apply new.rules"
    Then galenatiller exits with 4
    And galenatiller prints "revision 8 by Jone came after revision 7; nothing was changed"
    And galenatiller prints "+ stage draft generate on drafter max-tokens=16 # asked by Jone"
    And galenatiller prints "- zone north-a in # asked by Ana"
    And the accepted revision is 8 by "Jone"

  Scenario: A file based on an older revision is rejected
    When the operator runs "apply new.rules --base 6"
    Then galenatiller exits with 4
    And galenatiller prints "revision 7 by Ana came after revision 6; nothing was changed"
    And the accepted revision is 7 by "Ana"

  Scenario Outline: In a store outage each command reports which information is missing
    Given the store fails for operators with "store-unavailable"
    When the operator runs "<command>"
    Then galenatiller exits with 4
    And galenatiller prints "<text>"
    And the accepted revision is 7 by "Ana"

    Examples:
      | command                                  | text                                                              |
      | apply new.rules                          | Not known: which rules are accepted; nothing was changed.         |
      | diff new.rules                           | Not known: which rules are accepted, and so what the file would change. |
      | show                                     | Not known: which rules are accepted; status queries the nodes.       |
      | zone out north-a --asked-by Mere         | Not known: which rules are accepted; nothing was changed.         |
      | rollout status                           | which moves are accepted is not known                             |
      | rollout take-back drafter --asked-by M   | Not known: which rules are accepted; nothing was changed.         |
      | status                                   | the newest revision is not known                                  |
      | status                                   | Newest revision: not known.                                       |

  Scenario: Without the host list it is not known where a change is active
    Given the host list does not respond to operators
    When the operator runs "zone out north-b --asked-by Mere --wait 1s"
    Then galenatiller exits with 5
    And galenatiller prints "revision 8 is accepted; the host list did not respond, so it is not known where it is in force"
    And the accepted rules have the line "zone north-b out # asked by Mere"

  Scenario: A rejected operator key is reported, and the node is shown without a response
    Given node "entry-a" does not update and node "gate-a" fails with "unauthorized"
    When the operator runs "status"
    Then galenatiller exits with 1
    And galenatiller prints "no response"
    And galenatiller prints "1003 unauthorized"

  Scenario: A zone is taken out and brought back
    When the operator runs "zone out north-a --asked-by Mere"
    Then galenatiller exits with 0
    And the accepted rules have the line "zone north-a out # asked by Mere"
    When the operator runs "zone in north-a --asked-by Jone"
    Then the accepted rules have the line "zone north-a in # asked by Jone"

  Scenario: A rollout is started, inspected and taken back
    When the operator runs "rollout start drafter --from v1 --to v2 --by 2026-12-04T12:00:00Z --asked-by Mere"
    Then the accepted rules have the line "move drafter from=v1 to=v2 by=2026-12-04T12:00:00Z unproven-share=5% # asked by Mere"
    Given node "gate-a" has stopped the move of drafter from v1 to v2
    When the operator runs "rollout status"
    Then galenatiller prints "drafter v1 > v2: taken back (by 2026-12-04T12:00:00Z, asked by Mere)"
    And galenatiller prints "gate-a: stopped, 0% of traffic: fails more often than v1"
    When the operator runs "rollout take-back drafter --asked-by Jone"
    Then the accepted rules have the line "move drafter from=v2 to=v1 by=2026-12-04T08:00:00Z unproven-share=100% # asked by Jone"

  Scenario: The timelines of all nodes are merged, and a request is explained
    Given these events at nodes
      | node    | at | kind             | request | subject |
      | gate-a  | 2  | stage-started    | r-1     | draft   |
      | entry-a | 1  | request-accepted | r-1     | dossier |
      | entry-a | 3  | request-answered | r-1     | dossier |
      | gate-b  | 2  | target-cold      |         | t-9     |
    When the operator runs "timeline"
    Then the output lines have in order "entry-a accepted the request for dossier. [r-1]", "gate-a started stage draft. [r-1]", "gate-b reported a cold start of target t-9."
    When the operator runs "timeline --zone north-b"
    Then galenatiller does not print "entry-a"
    When the operator runs "explain r-1"
    Then galenatiller prints "The request ended after 2 ms with request-answered."
    When the operator follows the timeline and node "gate-b" records "target-ready" later
    Then galenatiller prints "gate-b reported readiness of target t-9."

  Scenario: Load is shown by target group in each round
    When the operator runs "top --rounds 2 --interval 1s"
    Then galenatiller exits with 0
    And galenatiller prints "drafter" 2 times

  Scenario Outline: JSON output is one document per line with the fields of the report
    When the operator runs "<command> --json"
    Then galenatiller exits with <code>
    And each output line is a JSON document with "<field>"

    Examples:
      | command                      | code | field   |
      | check new.rules              | 0    | rules   |
      | diff new.rules               | 0    | changes |
      | apply new.rules              | 0    | nodes   |
      | apply new.rules --base 3     | 4    | error   |
      | status                       | 0    | nodes   |
      | timeline                     | 0    | events  |
      | top --rounds 2 --interval 1s | 0    | groups  |

  Scenario: The completion script contains the commands
    When the operator runs "completion"
    Then galenatiller prints "complete -F _galenatiller galenatiller"
    And galenatiller prints "rollout) words="
