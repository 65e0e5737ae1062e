@router
Feature: An owner that is slow is not taken for one that is gone

  # Guards against a metastable failure: an owner with too little CPU time for its pieces was taken for
  # lost, every router submitted the pieces by itself, and the refused attempts kept all of them busy.
  Scenario Outline: The fleet serves as usual again soon after its owners were slow in a burst
    Given a fleet of <routers> routers with <cores> cores each, at half of the capacity of its workers
    When the owner of a shard is 5 times slower for 3 s, and calls come 2.5 times as often for 4 s
    Then 12 s later at least 97 of 100 calls are served
    And at most 2 of 100 calls to workers found them full in that time

    Examples:
      | routers | cores            |
      | 18      | 0.12             |
      | 68      | 0.243, 0.6, 1.35 |
      | 340     | 0.243, 0.6, 1.35 |

  Scenario: The simulation shows how the former policy fails
    Given a fleet of 18 routers with 0.12 cores each, at half of the capacity of its workers
    And it follows the former policy
    When the owner of a shard is 5 times slower for 3 s, and calls come 2.5 times as often for 4 s
    Then 12 s later fewer than 60 of 100 calls are served
