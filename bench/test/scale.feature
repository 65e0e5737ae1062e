@bench @scale
Feature: Work of a router by the size of its fleet
  Counted work of a whole router on a store in memory: reads of targets and hashes of names.

  # Guards against changes and calls for which a router visits all targets or scores all routers for each shard.
  Scenario: The work of a change follows the change
    Given the counted work of a router with 40 targets and 10 routers, and with 2000 targets and 200 routers
    Then a "heartbeat" reads at most 1 times as many targets in the larger fleet
    And a "changed slots" reads at most 1 times as many targets in the larger fleet
    And a "call" makes at most 12 reads for each target of one service there
    And a "call" hashes at most 1 times as many names as there are routers
    And a "new target" makes at most 4 reads for each target of one service there
    And a "removed target" makes at most 4 reads for each target of one service there
    And a "new router" makes at most 0 reads for each target of one service there
    And a "new router" hashes at most 4 times as many names as there are routers
    And a "new target of many" reads at most a sixth of the targets that a single one does
