@configuration
Feature: Configuration in the store
  An accepted configuration becomes active on every node within seconds and is never reverted.

  Scenario: A change reaches the nodes as a delta
    Given 3 nodes follow the configuration of a fake store
    When "ann" publishes 200 organisations on revision 0
    And "ann" publishes 200 organisations with weight 2 for the organisation 7 on revision 1
    Then the publication result is "published 2"
    And within 100 ms every node has revision 2 with weight 2 for the organisation 7
    And no node has read a shard since revision 1

  Scenario: Publishing the active rules changes nothing
    Given 1 nodes follow the configuration of a fake store
    When "ann" publishes 20 organisations on revision 0
    And "ann" publishes 20 organisations on revision 1
    Then the publication result is "unchanged 1"

  Scenario: Rules that exceed the store's size limit are rejected
    Given 1 nodes follow the configuration of a fake store
    When "ann" publishes an organisation with a name of 1100000 letters on revision 0
    Then the publication result is "rules-invalid"

  Scenario: A response is lost after the head was written
    Given 1 nodes follow the configuration of a fake store
    When the next 4 responses to publications are lost
    And "ann" publishes 20 organisations on revision 0
    Then the publication result is "published 1"

  Scenario: Two operators publish concurrent changes
    Given 1 nodes follow the configuration of a fake store
    When "ann" publishes 20 organisations on revision 0
    And "ann" and "bob" publish 20 organisations with different weights for the organisation 3 on revision 1 at once
    Then one publication succeeds and the other fails with "revision-conflict" and the change of the first
    And within 100 ms every node has the weight of the accepted publication for the organisation 3

  Scenario: Two operators publish concurrent changes that are too large for a delta
    Given 1 nodes follow the configuration of a fake store
    When "ann" and "bob" publish 2000 organisations with different weights for the organisation 3 on revision 0 at once
    Then the publication results are "published 1, revision-conflict"
    And within 100 ms every node has the weight of the accepted publication for the organisation 3

  Scenario: Every response to a change too large for a delta is lost
    Given 1 nodes follow the configuration of a fake store
    When the next 4 responses to publications are lost
    And "ann" publishes 2000 organisations on revision 0
    Then the publication result is "published 1"

  Scenario: A change based on an old revision fails and shows the concurrent changes
    Given 1 nodes follow the configuration of a fake store
    When "ann" publishes 20 organisations on revision 0
    And "bob" publishes 20 organisations with weight 5 for the organisation 3 on revision 1
    And "ann" publishes 20 organisations with weight 9 for the organisation 3 on revision 1
    Then the publication result is "revision-conflict"
    And the conflict shows that "bob" gave the organisation 3 weight 5
    And within 100 ms every node has revision 2 with weight 5 for the organisation 3

  Scenario Outline: An outage during a publication changes nothing
    Given 1 nodes follow the configuration of a fake store
    When "ann" publishes 9000 organisations on revision 0
    And the store becomes unavailable after <writes> more writes
    And "ann" publishes 9000 other organisations on revision 1
    Then the publication result is "<result>"
    And within 100 ms every node has revision 1 with weight 1 for the organisation 3
    When the configuration store recovers
    And "ann" publishes 9000 organisations with weight 4 for the organisation 3 on revision 1
    Then the publication result is "published 2"
    And within 30000 ms every node has revision 2 with weight 4 for the organisation 3
    And the store keeps 65 shards

    Examples:
      | writes | result            |
      | 0      | store-unavailable |
      | 1      | store-ambiguous   |

  Scenario: A node that starts during a store outage adopts the highest revision of its peers
    Given 2 nodes follow the configuration of a fake store
    When "ann" publishes 200 organisations on revision 0
    And "ann" publishes 200 organisations with weight 2 for the organisation 7 on revision 1
    And the configuration store becomes unavailable
    And a node starts whose peers are the other nodes and one that offers revision 1
    Then within 100 ms every node has revision 2 with weight 2 for the organisation 7
    When the configuration store recovers
    And "ann" publishes 200 organisations with weight 3 for the organisation 7 on revision 2
    Then within 10000 ms every node has revision 3 with weight 3 for the organisation 7

  Scenario: After a gap in the watch only the changed shards are read
    Given 1 nodes follow the configuration of a fake store
    When "ann" publishes 200 organisations on revision 0
    And the nodes are disconnected from the store
    And 20 changes of one organisation are published and the history is compacted
    And the nodes reconnect to the store
    Then within 10000 ms every node has revision 21 with weight 21 for the organisation 7
    And the nodes have read 1 shards since revision 1

  Scenario: The revision of a node never decreases under random fault schedules
    Then over 40 seeded fault schedules the revision of every node only increases and ends at the accepted one

  Scenario: One changed line among 36,000 organisations
    Given 1 nodes follow the configuration of a fake store
    When "ann" publishes 36000 organisations on revision 0
    And "ann" publishes 36000 organisations with weight 2 for the organisation 7 on revision 1
    Then within 100 ms every node has revision 2 with weight 2 for the organisation 7
    And the change took at most 6 calls, 140000 bytes of writes and 12000 bytes sent to each node
    And the configuration takes at most 40 MB on a newly started node
