@configuration
Feature: Configuration in the store
  An accepted configuration comes into force on every node within seconds and never reverts.

  Scenario: A change reaches the nodes as a delta
    Given 3 nodes follow the configuration of a stand-in store
    When "ann" publishes 200 organisations on revision 0
    And "ann" publishes 200 organisations with weight 2 for the organisation 7 on revision 1
    Then the publication is told as "published 2"
    And within 100 ms every node has revision 2 with weight 2 for the organisation 7
    And no node has read a shard since revision 1

  Scenario: Rules that are in force already change nothing
    Given 1 nodes follow the configuration of a stand-in store
    When "ann" publishes 20 organisations on revision 0
    And "ann" publishes 20 organisations on revision 1
    Then the publication is told as "unchanged 1"

  Scenario: An answer lost after the head was written
    Given 1 nodes follow the configuration of a stand-in store
    When the next 4 answers to publications are lost
    And "ann" publishes 20 organisations on revision 0
    Then the publication is told as "published 1"

  Scenario: Two operators race
    Given 1 nodes follow the configuration of a stand-in store
    When "ann" publishes 20 organisations on revision 0
    And "ann" and "bob" publish different weights for the organisation 3 on revision 1 at once
    Then one is told as published and the other as "revision-conflict" with the change of the first
    And within 100 ms every node has the weight of the first for the organisation 3

  Scenario: An edit of an old revision shows what came between
    Given 1 nodes follow the configuration of a stand-in store
    When "ann" publishes 20 organisations on revision 0
    And "bob" publishes 20 organisations with weight 5 for the organisation 3 on revision 1
    And "ann" publishes 20 organisations with weight 9 for the organisation 3 on revision 1
    Then the publication is told as "revision-conflict"
    And the refusal shows that "bob" gave the organisation 3 weight 5
    And within 100 ms every node has revision 2 with weight 5 for the organisation 3

  Scenario Outline: An outage in the middle of a publication changes nothing
    Given 1 nodes follow the configuration of a stand-in store
    When "ann" publishes 9000 organisations on revision 0
    And the store goes away after <writes> more writes
    And "ann" publishes 9000 other organisations on revision 1
    Then the publication is told as "<told>"
    And within 100 ms every node has revision 1 with weight 1 for the organisation 3
    When the store of the configuration comes back
    And "ann" publishes 9000 organisations with weight 4 for the organisation 3 on revision 1
    Then the publication is told as "published 2"
    And within 30000 ms every node has revision 2 with weight 4 for the organisation 3
    And the store keeps 65 shards

    Examples:
      | writes | told              |
      | 0      | store-unavailable |
      | 1      | store-ambiguous   |

  Scenario: A node that starts while the store is away takes the highest revision of its peers
    Given 2 nodes follow the configuration of a stand-in store
    When "ann" publishes 200 organisations on revision 0
    And "ann" publishes 200 organisations with weight 2 for the organisation 7 on revision 1
    And the store of the configuration goes away
    And a node starts that knows the other nodes and one that offers revision 1
    Then within 100 ms every node has revision 2 with weight 2 for the organisation 7
    When the store of the configuration comes back
    And "ann" publishes 200 organisations with weight 3 for the organisation 7 on revision 2
    Then within 10000 ms every node has revision 3 with weight 3 for the organisation 7

  Scenario: A gap in the watch costs the changed shards only
    Given 1 nodes follow the configuration of a stand-in store
    When "ann" publishes 200 organisations on revision 0
    And the nodes are cut off from the store
    And 20 changes of one organisation are published and the history is forgotten
    And the nodes reach the store again
    Then within 10000 ms every node has revision 21 with weight 21 for the organisation 7
    And the nodes have read 1 shards since revision 1

  Scenario: Nodes never go back under any schedule of faults
    Then over 40 seeded schedules every node goes up only, to what was accepted

  Scenario: One changed line among 36,000 organisations
    Given 1 nodes follow the configuration of a stand-in store
    When "ann" publishes 36000 organisations on revision 0
    And "ann" publishes 36000 organisations with weight 2 for the organisation 7 on revision 1
    Then within 100 ms every node has revision 2 with weight 2 for the organisation 7
    And the change took at most 6 calls and 140000 bytes of writes, and 12000 bytes for each node
    And the configuration takes at most 40 MB on a node that starts now
