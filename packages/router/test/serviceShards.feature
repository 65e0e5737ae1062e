@router
Feature: A stage service is split by what its owners can carry

  Scenario Outline: The number of shards follows the load and the zones
    Given <workers> workers in <zones> zones, and routers of <cores> cores
    Then the service has <shards> shards, and each worker belongs to one of them
    And no shard needs more than half of the CPU of a router, unless it has one worker

    Examples:
      | workers | zones | cores | shards |
      | 3       | 3     | 0.5   | 1      |
      | 7       | 5     | 0.12  | 5      |
      | 26      | 5     | 1.35  | 5      |
      | 26      | 5     | 0.12  | 16     |
      | 0       | 1     | 1     | 1      |

  Scenario: Owners have no more than their share, and deputies are in other zones
    Given 26 workers in 5 zones, and routers of 0.6 cores
    Then each shard has one owner and two deputies, the same for every router
    And no router owns more than half of its CPU
    And owner and deputies of a shard are in three zones

  Scenario Outline: A piece goes to the shard near its inputs, unless that is much busier
    Given shards in the zones "z1" and "z2" with waits of <z1> ms and <z2> ms
    Then a piece with its inputs in "z1" goes to the shard in "<chosen>"

    Examples:
      | z1  | z2 | chosen |
      | 0   | 0  | z1     |
      | 140 | 0  | z1     |
      | 160 | 0  | z2     |

  Scenario: A piece does not go to a shard whose workers are all gone
    Given shards in the zones "z1" and "z2" with waits of 0 ms and 900 ms
    And the workers of "z1" are gone
    Then a piece with its inputs in "z1" goes to the shard in "z2"

  Scenario: A router that lags accepts fewer pieces, and more again once it has caught up
    Given a router with 400 pieces in progress
    When its timers fire 200 ms late 3 times
    Then it accepts no more pieces, and each of 4 peers may have at most 40
    When its timers fire 0 ms late 40 times
    Then it accepts pieces without a limit

  Scenario: All senders together try a full worker no more often than an only one
    Then the mean pause of each of 68 senders after a refusal is 68 times that of an only sender
