@configuration
Feature: Configuration after a restore of the store
  A store that comes back from an older copy has lost the last revisions, which nodes still have.

  # Guards against a confirmed configuration that is lost in a restore, and replaced by one based on an older one.
  Scenario: A revision that a restore has lost is written back by the nodes that have it
    Given 3 nodes follow the configuration of a fake store
    When "ann" publishes 200 organisations on revision 0
    And the configuration store is copied
    And "ann" publishes 200 organisations with weight 2 for the organisation 7 on revision 1
    And "ann" publishes 200 organisations with weight 3 for the organisation 7 on revision 2
    And the configuration store is away for 1000 ms and restored from the copy
    Then within 10000 ms every node has revision 3 with weight 3 for the organisation 7
    When "bob" publishes 200 organisations with weight 8 for the organisation 9 on revision 1
    Then the publication result is "revision-conflict"
    When "bob" publishes 200 organisations with weight 8 for the organisation 9 on revision 3
    Then the publication result is "published 4"
    And within 100 ms every node has revision 4 with weight 8 for the organisation 9

  # Guards against a node that starts after a restore and gets an older configuration than was confirmed.
  Scenario: A node that starts after a restore gets the revision that the restore has lost
    Given 2 nodes follow the configuration of a fake store
    When "ann" publishes 200 organisations on revision 0
    And the configuration store is copied
    And "ann" publishes 200 organisations with weight 2 for the organisation 7 on revision 1
    And the configuration store is away for 1000 ms and restored from the copy
    And 10000 ms pass at the configuration store
    And a node starts that has no peers
    Then within 100 ms every node has revision 2 with weight 2 for the organisation 7

  Scenario: A configuration outlasts several restores
    Given 2 nodes follow the configuration of a fake store
    When "ann" publishes 200 organisations on revision 0
    And the configuration store is copied
    And "ann" publishes 200 organisations with weight 2 for the organisation 7 on revision 1
    And the configuration store is away for 1000 ms and restored from the copy
    And 10000 ms pass at the configuration store
    And the configuration store is away for 1000 ms and restored from the copy
    And 10000 ms pass at the configuration store
    And "bob" publishes 200 organisations with weight 8 for the organisation 9 on revision 2
    Then the publication result is "published 3"
    And within 100 ms every node has revision 3 with weight 8 for the organisation 9

  # Guards against a confirmed publication on a restored store that comes into force nowhere, or replaces another one.
  Scenario: Revisions that were published before and after a restore are both in force
    Given 3 nodes follow the configuration of a fake store
    When "ann" publishes 200 organisations on revision 0
    And the configuration store is copied
    And "ann" publishes 200 organisations with weight 2 for the organisation 7 on revision 1
    And the configuration store is away for 1000 ms and restored from the copy
    And "bob" publishes 200 organisations with weight 8 for the organisation 9 on revision 1
    Then the publication result is "published 2"
    And within 10000 ms every node has revision 3 with weight 2 for the organisation 7
    And within 0 ms every node has revision 3 with weight 8 for the organisation 9

  Scenario: A restored store that gets more revisions than it has lost keeps all of them
    Given 3 nodes follow the configuration of a fake store
    When "ann" publishes 200 organisations on revision 0
    And the configuration store is copied
    And "ann" publishes 200 organisations with weight 2 for the organisation 7 on revision 1
    And the configuration store is away for 1000 ms and restored from the copy
    And "bob" publishes 200 organisations with weight 8 for the organisation 9 on revision 1
    And "bob" publishes 200 organisations with weight 4 for the organisation 9 on revision 2
    Then the publication result is "published 3"
    And within 10000 ms every node has revision 4 with weight 2 for the organisation 7
    And within 0 ms every node has revision 4 with weight 4 for the organisation 9
    When "bob" publishes 200 organisations with weight 5 for the organisation 9 on revision 4
    Then within 100 ms every node has revision 5 with weight 5 for the organisation 9
