@store
Feature: Restores of the store
  A store that comes back from an older copy has lost its last writes, and gives their revisions and lease ids out
  again.

  # Guards against a watch that waits for a revision which the store, restored from a copy, gives out again.
  Scenario Outline: A watch reports a gap when the store comes back from an older copy
    Given a store client of a fake store whose responses name <named> cluster
    And a watch of the store prefix "w/"
    When another client writes the store key "w/a"
    And the fake store is copied
    And another client writes the store key "w/b"
    And another client writes the store key "w/c"
    And the fake store is away for 1000 ms and restored from the copy
    And 10000 ms pass at the store client
    Then the watch has seen "put w/a, put w/b, put w/c, lost, found, gap" in that order
    When another client writes the store key "w/d"
    And 10 ms pass at the store client
    Then the last event of the watch is "put w/d"

    Examples:
      | named |
      | a     |
      | no    |

  # Guards against restores that only a broken watch notices.
  Scenario: A restore that another reader notices first reaches a watch that stays open
    Given a store client of a fake store whose responses name a cluster
    And a watch of the store prefix "w/"
    When another client writes the store key "w/a"
    And the fake store is copied
    And another client writes the store key "w/b"
    And 10 ms pass at the store client
    And the fake store is restored from the copy
    And the store client reads 1 times at once
    And 100 ms pass at the store client
    Then the watch has seen "put w/a, put w/b, gap" in that order

  Scenario: Each of several restores is reported
    Given a store client of a fake store whose responses name a cluster
    And a watch of the store prefix "w/"
    When the fake store is copied
    And the fake store is away for 1000 ms and restored from the copy
    And 10000 ms pass at the store client
    And another client writes the store key "w/a"
    And the fake store is away for 1000 ms and restored from the copy
    And 10000 ms pass at the store client
    And another client writes the store key "w/b"
    And the fake store is away for 1000 ms and restored from the copy
    And 10000 ms pass at the store client
    Then the watch has seen "lost, found, gap, put w/a, lost, found, gap, put w/b, lost, found, gap" in that order
