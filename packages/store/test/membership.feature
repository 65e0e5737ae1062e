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

  # Guards against a node that vanishes for good because a late write ties its entry to a lease that has ended.
  Scenario: A node whose entry is written late stays a member
    Given the answer to the next write is lost, and it is done 2400 ms later
    When the node "c" joins
    And 8000 ms pass at the store of the members
    Then node "b" sees "a,b,c"

  Scenario: A node whose entry is replaced by one that ends registers again
    When a process that was killed writes the entry of "a" late, as one that stays
    And 8000 ms pass at the store of the members
    Then node "b" sees "a,b"
    And node "a" has a lease of a later generation

  # Guards against work for a node that leaves, whose late write says that it stays.
  Scenario: A node that leaves says so again after a late write
    When node "a" begins to leave
    And a process that was killed writes the entry of "a" late, as one that stays
    And 2000 ms pass at the store of the members
    Then node "b" sees "a leaving,b"

  # Guards against shares that grow at once, although a node that is cut off goes on with its own.
  Scenario: A node that is missed in a quiet fleet is still counted for a time
    When 20000 ms pass at the store of the members
    And node "b" is cut off from renewing its lease
    And 3500 ms pass at the store of the members
    Then node "a" sees "a"
    And node "a" counts 2 nodes
    When 5000 ms pass at the store of the members
    Then node "a" counts 2 nodes
    When 1500 ms pass at the store of the members
    Then node "a" counts 1 nodes

  Scenario: A node that sees itself missing counts itself
    When 20000 ms pass at the store of the members
    And node "b" is cut off from renewing its lease
    And 20000 ms pass at the store of the members
    Then node "b" sees "a"
    And node "b" counts 2 nodes

  # Guards against shares of all nodes that sum to more than the whole while one of them is cut off for a few seconds.
  Scenario: The shares of all nodes sum to no more than the whole while one is cut off from the store
    Given the nodes "c" and "d" have joined
    When 20000 ms pass at the store of the members
    And node "b" is cut off from renewing its lease
    Then the shares of the nodes sum to at most 1 at each moment of 5500 ms
    When node "b" renews its lease again
    Then the shares of the nodes sum to at most 1 at each moment of 10000 ms
    And node "a" counts 4 nodes

  # Guards against repeats that pile up, as a node that starts has the share that the process before it has used.
  Scenario: A node that starts again has no share of the window until it has been counted for as long
    Then node "b" has a whole share
    When node "b" is killed and starts again
    Then node "b" does not have a whole share
    And node "a" has a whole share
    When 7000 ms pass at the store of the members
    Then node "b" does not have a whole share
    When 3500 ms pass at the store of the members
    Then node "b" has a whole share

  # Guards against shares that grow while what a lost node has used before still counts.
  Scenario: A node that is lost is counted for the whole window
    When 20000 ms pass at the store of the members
    And node "b" is cut off from renewing its lease
    And 12500 ms pass at the store of the members
    Then node "a" counts 1 nodes
    And node "a" counts 2 nodes in the window
    When 1500 ms pass at the store of the members
    Then node "a" counts 1 nodes in the window

  # Guards against a node that goes on with a share although the others have divided it among themselves.
  Scenario: The whole shares sum to no more than the whole while one node is cut off for long
    Given the nodes "c" and "d" have joined
    When 20000 ms pass at the store of the members
    And node "b" is cut off from renewing its lease
    Then the whole shares of the nodes in the window sum to at most 1 at each moment of 20000 ms
    And node "b" does not have a whole share
    When node "b" renews its lease again
    Then the whole shares of the nodes in the window sum to at most 1 at each moment of 20000 ms
    And node "b" has a whole share
