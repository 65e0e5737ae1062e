@rules-file
@operator
Feature: Rules file
  Each line holds one rule and ends with a comment that names who asked for it.

  Scenario Outline: The example files parse, and their rules survive formatting and parsing
    When the rules file "<file>" is parsed
    Then the rules file has <rules> rules and no problem
    And formatting and parsing its rules again gives the same rules

    Examples:
      | file                        | rules |
      | examples/lautoka.rules      | 29    |
      | examples/rekvisitlanet.rules | 34   |

  Scenario: The example on the operators' page is valid
    When the rules on the page "docs/operators/rules.md" are parsed
    Then the rules file has 11 rules and no problem

  Scenario Outline: An invalid line is reported with its position
    When these rule lines are parsed
      """
      stage enc encode on encoder # asked by Mere
      stage gen generate on drafter max-tokens=8 # asked by Mere
      stage once call on floor at-most-once # asked by Mere
      <line>
      """
    Then the only rules problem is "<problem>"

    Examples:
      | line                                                    | problem                                                                                       |
      | zone north-b out                                        | 4:17: found the end of the line, expected `# asked by NAME`                                   |
      | zone north-b out # because                              | 4:18: found `# because`, expected `# asked by NAME`                                           |
      | zone north-b off # asked by Mere                        | 4:14: found `off`, expected one of in, out                                                    |
      | zoen north-b out # asked by Mere                        | 4:1: found `zoen`, expected organisation, stage, route, limit, zone or move; did you mean zone? |
      | route r = enk deadline=3s # asked by Mere               | 4:11: found `enk`, expected a stage of this file; did you mean enc?                           |
      | route r = once > gen deadline=3s # asked by Mere        | 4:18: found `gen` of kind generate, expected no stage after call                              |
      | route r = enc > gen deadline=3s # asked by Mere         | 4:17: found `gen` of kind generate, expected a stage of kind retrieve after encode            |
      | route r = gen deadline=3 # asked by Mere                | 4:24: found `3`, expected a duration from 1ms to 600s, such as `3s` or `250ms`                |
      | route r = gen dedline=3s deadline=3s # asked by Mere    | 4:15: found `dedline`, expected one of deadline, priority; did you mean deadline?             |
      | route r = gen deadline=3s deadline=4s # asked by Mere   | 4:27: found `deadline` again, expected `deadline` once                                        |
      | route r = gen # asked by Mere                           | 4:14: found the end of the rule, expected `deadline=` with a duration from 1ms to 600s, such as `3s` or `250ms` |
      | stage gen call on floor # asked by Mere                 | 4:7: found a second `stage gen`, expected one `stage gen`; the first is on line 2             |
      | stage s generate at drafter max-tokens=8 # asked by M   | 4:18: found `at`, expected `on`                                                               |
      | stage s encode on encoder at-most-once # asked by Mere  | 4:27: found `at-most-once`, expected `# asked by NAME`                                        |
      | limit lab requests-per-second=1 in-flight=1 # asked by M | 4:7: found `lab`, expected an organisation of this file                                      |
      | organisation lab key-sha256=clear-text # asked by Mere  | 4:29: found 10 characters, expected a SHA-256 digest of 64 lower-case hex digits              |
      | move drafter from=v1 to=v1 by=2026-12-04T12:00:00Z unproven-share=5% # asked by M | 4:25: found `v1`, expected a version other than `from`              |
      | move drafter from=v1 to=v2 by=2026-02-30T12:00:00Z unproven-share=5% # asked by M | 4:31: found `2026-02-30T12:00:00Z`, expected a UTC time such as `2026-12-04T12:00:00Z` |
      | move drafta from=v1 to=v2 by=2026-12-04T12:00:00Z unproven-share=5% # asked by M | 4:6: found `drafta`, expected a target group of this file; did you mean drafter? |

  Scenario: Two organisations can't share a key
    When two organisations have the same key digest
    Then the only rules problem is "2:31: found a digest that north already uses, expected a digest that is used once"

  Scenario: All problems are reported together, in text order
    When these rule lines are parsed
      """
      zone a
      route r = nowhere deadline=0s
      limit lab in-flight=none # asked by Mere
      """
    Then the rules problems are at
      | 1:7 |
      | 1:7 |
      | 2:11 |
      | 2:28 |
      | 2:30 |
      | 3:7 |
      | 3:21 |
      | 3:25 |

  Scenario: The parser never throws, and every problem has a position within the text
    Then each of 3000 random and corrupted rules files parses or gives problems with positions within the text

  Scenario: Random valid rules survive formatting and parsing
    Then formatting and parsing each of 500 random sets of rules gives the same rules

  Scenario: Rules are compared by kind and name
    When the rules before a change are
      """
      zone a in # asked by Mere
      zone b in # asked by Mere
      zone c in # asked by Mere
      """
    And the rules after it are
      """
      zone c in # asked by Mere
      zone d in # asked by Jone
      zone b out # asked by Jone
      """
    Then the rule changes are
      | removed | zone a in # asked by Mere  |
      | added   | zone d in # asked by Jone  |
      | changed | zone b out # asked by Jone |
