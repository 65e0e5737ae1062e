@target @unevenTargets
Feature: Targets that state how long work takes on them

  # Guards against belief in a figure that was true a second ago, or for one moment.
  Scenario Outline: A stated duration decays to the mean of the last minute
    Given a target that has stated <mean> % ten times a second for <seconds> s
    When it states <stated> %, and then nothing for <age> ms
    Then work of <work> ms is expected to take <least> % to <most> %

    Examples:
      | mean | seconds | stated | age   | work | least | most |
      | 100  | 60      | 300    | 0     | 0 | 300   | 300  |
      | 100  | 60      | 300    | 330   | 0 | 160   | 190  |
      | 100  | 60      | 300    | 1000  | 0 | 100   | 120  |
      | 300  | 60      | 100    | 1000  | 0 | 280   | 300  |
      | 300  | 60      | 300    | 60001 | 0 | 0     | 0    |
      | 100  | 0       | 400    | 1000  | 0 | 100   | 120  |
      | 100 | 60 | 300 | 0 | 330 | 220 | 232 |

  # Guards against a log line for each change of the figure.
  Scenario: A machine that becomes slow, and usual again, is reported once each
    Given a target that has stated 50 % and 900 % in turn ten times a second for 120 s
    And it has stated 80 % and 120 % in turn ten times a second for 120 s
    Then "slow, as-usual" was reported

  # Guards against nodes that all send to the target that states the lowest figure, and against changes on even machines.
  Scenario Outline: A dozen nodes choose 40 times each among 12 targets of 8 slots, without answers
    When target 0 states <first> % with <others> requests of others, and the other 11 state <rest> %
    Then target 0 gets <least> % to <most> % of the calls, as without figures: <same>

    Examples:
      | first | others | rest | least | most | same  |
      | 300   | 0      | 100  | 0     | 2    | false |
      | 30    | 0      | 100  | 10    | 25   | false |
      | 30    | 30     | 100  | 0     | 2    | false |
      | 100   | 0      | 300  | 10    | 25   | false |
      | 120   | 0      | 100  | 10    | 10   | true  |
      | 300   | 0      | 300  | 10    | 10   | true  |
