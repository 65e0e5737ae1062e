@target
Feature: What a router believes of targets

  Scenario: A draining target gets no new work
    Given the targets "a" and "b" are listed
    When target "a" says that it drains
    Then the usable targets are "b"

  Scenario: Another start under the same id is another target
    Given the targets "a" and "b" are listed
    When target "a" has started anew
    Then the old start of target "a" may not be used

  Scenario: An entry that lapsed during an outage may come back
    Given the targets "a" and "b" are listed
    When the store is regained without target "a"
    Then the usable targets are "a, b"
    And after 2300 ms the usable targets are "b"

  Scenario: An entry that comes back in time stays
    Given the targets "a" and "b" are listed
    When the store is regained without target "a"
    And target "a" is listed again after 1500 ms
    Then after 2300 ms the usable targets are "a, b"

  Scenario: A target that is removed while the store is well is gone at once
    Given the targets "a" and "b" are listed
    When the entry of target "a" is removed
    Then the usable targets are "b"

  Scenario: A zone that is taken out gets no new work until it is taken in
    Given the targets "a" and "b" are listed
    When zone "zone-a" is taken out
    Then the usable targets are "b"
    When zone "zone-a" is taken in
    Then the usable targets are "a, b"

  Scenario: A target that can't be reached is suspended, and trusted after a good answer
    Given a judge of targets
    When target "a" is unreachable
    Then target "a" is suspended
    And after 800 ms target "a" is not suspended
    When target "a" answers well
    Then target "a" is not suspended

  Scenario: Usual errors do not suspend a target
    Given a judge of targets
    When target "a" fails each 7th of 70 answers
    Then target "a" was never suspended

  Scenario: A target that fails most of its answers is suspended
    Given a judge of targets
    When target "a" fails each 1st of 4 answers
    Then target "a" is suspended

  Scenario Outline: All nodes together keep within what a cold target bears
    Given <nodes> nodes that share a cold target with 12 requests a second
    When each node sends all it may within one second
    Then the target got at most 23 requests

    Examples:
      | nodes |
      | 1     |
      | 2     |
      | 6     |
      | 20    |

  Scenario Outline: All nodes together keep the budget for repeats
    Given <nodes> nodes that share a budget of 0.2 repeats and 56 beyond
    When each node has <requests> requests and repeats all it may
    Then the repeats are within 0.2 of the requests and 56 beyond

    Examples:
      | nodes | requests |
      | 1     | 0        |
      | 6     | 100      |
      | 30    | 10       |

  Scenario: Prompts with the same shared parts go to the same target from every node
    When two nodes choose among the same targets in another order
    Then they choose the same target for each of 50 prompts
    And no target is chosen for more than half of the prompts

  Scenario: A suspended target is used when no other is left
    When the only target is suspended
    Then it is chosen as a last resort
