@target @targetNotices
Feature: What targets say about themselves
  A target says in its answers that it is leaving, or asks the node to send it nothing for a time.

  Background:
    Given a node that follows the notices of targets

  # Guards against calls to a target that has said in an answer that it is leaving.
  Scenario: A leaving target gets no new work until it is started again
    When start 1 of target "a" says that it is leaving
    Then start 1 of target "a" may not be sent to
    And after 600000 ms start 1 of target "a" may not be sent to
    And start 2 of target "a" may be sent to

  # Guards against a late answer that keeps a target that was started again from getting work.
  Scenario: A late answer of an earlier start says nothing about a later one
    When start 2 of target "a" is registered
    And start 1 of target "a" says that it is leaving
    Then start 2 of target "a" may be sent to

  Scenario: The end of the belief is reported when the target is started again
    When start 1 of target "a" says that it is leaving
    And start 2 of target "a" is registered
    Then the node has reported "leaving, leaving-ended"
    And 0 targets are leaving

  Scenario: A target whose starts can't be told apart is not leaving for ever
    When target "a", whose start is not known, says that it is leaving
    Then target "a", whose start is not known, may not be sent to
    And after 31000 ms target "a", whose start is not known, may be sent to

  # Guards against word of other nodes that outlives the answer that it is based on.
  Scenario Outline: Word of another node is believed as long as its evidence
    When another node says that start 1 of target "a" was leaving <ago> ms ago
    Then start 1 of target "a" <now> be sent to
    And after <later> ms start 1 of target "a" may be sent to

    Examples:
      | ago   | now     | later |
      | 0     | may not | 30001 |
      | 29000 | may not | 1001  |
      | -5000 | may not | 30001 |
      | 40000 | may     | 1     |

  Scenario: The node's own evidence is passed on with its age, and word of others is not
    When start 1 of target "a" says that it is leaving
    And another node says that start 1 of target "b" was leaving 0 ms ago
    Then the node has passed on "a" once
    And after 2000 ms a node that joins is told that "a" was leaving 2000 ms ago

  # Guards against a value that keeps a target out for hours, or is not bounded at all.
  Scenario Outline: The time of a pause is bounded
    When target "a" turns a call away and wants nothing for "<text>"
    Then target "a" is paused for <pause> ms, which is "<bound>"

    Examples:
      | text                          | pause | bound      |
      | 2                             | 2000  | as-asked   |
      | 0.25                          | 250   | as-asked   |
      | 0                             | 0     | as-asked   |
      | -5                            | 0     | negative   |
      | soon                          | 500   | unreadable |
      | 1e9                           | 500   | unreadable |
      | NaN                           | 500   | unreadable |
      | 99999999999                   | 60000 | too-long   |
      | Wed, 21 Oct 2026 07:28:00 GMT | 500   | unreadable |
      | 1, 3                          | 3000  | several    |
      | 2, soon                       | 2000  | several    |
      | 1, 99999                      | 60000 | too-long   |

  Scenario: Only a target that turns a request away asks for a pause
    When target "a" responds with status 200 and wants nothing for "2"
    Then start 1 of target "a" may be sent to

  Scenario: Of several requests the one that ends last counts
    When target "a" turns a call away and wants nothing for "3"
    And target "a" turns a call away and wants nothing for "1"
    Then after 2900 ms start 1 of target "a" may not be sent to
    And after 400 ms start 1 of target "a" may be sent to

  Scenario: A pause is not passed on to other nodes
    When target "a" turns a call away and wants nothing for "3"
    Then the node has passed on nothing

  # Guards against callers that all come back to a target at the moment its pause ends.
  Scenario: The sends to a target grow after its pause
    When target "a" turns a call away and wants nothing for "1"
    Then 100 callers that wait for it send nothing in 1000 ms
    And 100 callers that wait for it send at most 9 in 300 ms
    And 100 callers that wait for it send all in 1200 ms

  Scenario: One check of whether the target still runs is made during a pause
    When target "a" turns a call away and wants nothing for "1"
    Then 1 of 5 checks of target "a" is made
    And after 1300 ms 5 of 5 checks of target "a" are made
