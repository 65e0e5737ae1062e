@membership
Feature: A node leaves the members in two steps

  Background:
    Given the nodes "a" and "b" are members

  # Guards against links and work that are cut when a node is asked to stop, although it lives on for seconds.
  Scenario: A node that begins to leave is still a member that others reach
    When node "a" begins to leave
    Then node "b" sees "a leaving,b"

  Scenario: A node that has left is no member
    When node "a" begins to leave
    And node "a" has left
    Then node "b" sees "b"

  Scenario: The order in which nodes begin to leave is the same for all
    When node "b" begins to leave
    And node "a" begins to leave
    Then node "a" sees "b" leaving before "a"
    And node "b" sees "b" leaving before "a"

  Scenario: A node that begins to leave while the store is away publishes it when the store is back
    Given the store of the members is away
    When node "a" begins to leave
    And the store of the members is back
    Then node "b" sees "a leaving,b"

  Scenario: The entry of a node that does not know of leaving is one of a node that stays
    When an older node writes the entry "10.0.0.9:1 0.5" as "old"
    Then node "b" sees "a,b,old"
