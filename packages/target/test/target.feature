@target
Feature: A router's view of targets
  A router follows the registrations, restarts and health of its targets, limits what it sends them
  together with the other routers, and selects targets so that prompts hit warm caches.

  Scenario: A draining target gets no new work
    Given the targets "a" and "b" are registered
    When target "a" starts draining
    Then the usable targets are "b"

  Scenario: A restarted target replaces the old process with the same id
    Given the targets "a" and "b" are registered
    When target "a" has restarted
    Then the old process of target "a" is not usable

  Scenario: An entry that expired during a store outage has time to return
    Given the targets "a" and "b" are registered
    When the store is reachable again without target "a"
    Then the usable targets are "a, b"
    And after 2300 ms the usable targets are "b"

  # Guards against calls to a worker that is gone, whose entry was removed about when a watch was cut.
  Scenario: A target that is removed while a watch is cut is dropped at once
    Given the targets "a" and "b" are registered
    When the store is reachable again after 1900 ms without target "a"
    Then the usable targets are "b"

  # Guards against live targets that get no calls because the store could not take their heartbeats.
  Scenario: An outage that is long enough for entries to expire starts the grace period
    Given the targets "a" and "b" are registered
    When the store is reachable again after 2000 ms without target "a"
    Then the usable targets are "a, b"

  Scenario: An entry that returns in time is kept
    Given the targets "a" and "b" are registered
    When the store is reachable again without target "a"
    And target "a" is registered again after 1500 ms
    Then after 2300 ms the usable targets are "a, b"

  Scenario: A target that is removed while the store is available is dropped at once
    Given the targets "a" and "b" are registered
    When the entry of target "a" is removed
    Then the usable targets are "b"

  Scenario: A zone that is taken out gets no new work until it is taken in
    Given the targets "a" and "b" are registered
    When zone "zone-a" is taken out
    Then the usable targets are "b"
    When zone "zone-a" is taken in
    Then the usable targets are "a, b"

  Scenario: A target that can't be reached is suspended, and trusted again after a successful response
    Given a health record of targets
    When target "a" is unreachable
    Then target "a" is suspended
    And after 800 ms target "a" is not suspended
    When target "a" responds successfully
    Then target "a" is not suspended

  Scenario: A normal error rate does not suspend a target
    Given a health record of targets
    When target "a" fails every 7th of 70 requests
    Then target "a" was never suspended

  Scenario: A target that fails most requests is suspended
    Given a health record of targets
    When target "a" fails every 1st of 4 requests
    Then target "a" is suspended

  Scenario Outline: All nodes together keep within the rate limit of a cold target
    Given <nodes> nodes that share a cold target with 12 requests a second
    When each node sends as many requests as allowed within one second
    Then the target got at most 23 requests

    Examples:
      | nodes |
      | 1     |
      | 2     |
      | 6     |
      | 20    |

  Scenario Outline: All nodes together keep within the retry budget
    Given <nodes> nodes that share a budget of 0.2 retries per request and 56 more
    When each node has <requests> requests and retries as often as allowed
    Then the retries are at most 0.2 per request and 56 more

    Examples:
      | nodes | requests |
      | 1     | 0        |
      | 6     | 100      |
      | 30    | 10       |

  Scenario: Prompts with the same shared parts go to the same target from every node
    When two nodes choose among the same targets in different orders
    Then they choose the same target for each of 50 prompts
    And no target is chosen for more than half of the prompts

  Scenario: A suspended target is used when no other is left
    When the only target is suspended
    Then it is chosen as a last resort

  # Guards against repeats that pile up, as each start had the share that the process before it had used already.
  Scenario Outline: Nodes that are restarted keep within the retry budget
    When 31 nodes serve <rate> requests a second, each of which wants a repeat, and <share> of them are restarted at <times> s
    Then in no window are there more than 0.2 retries per request and 102 more

    Examples:
      | rate | share | times          |
      | 30   | 0     | 4              |
      | 30   | 1     | 4              |
      | 30   | 0.55  | 3, 6           |
      | 100  | 0.55  | 3, 6           |
      | 30   | 1     | 3, 6           |
      | 100  | 1     | 3, 6           |
      | 100  | 0.95  | 1.5, 4, 6.5, 9 |
