@engine
Feature: Concurrency limit of a target in cold start
  The limit is raised by evidence only; restarts and signs of them reset it.

  Background:
    Given a target that can handle 16 runs warm and 2 cold, with a warm-up time of 100 ms

  Scenario: Good runs after the warm-up time raise the limit
    When the target answers 40 rounds of runs at its limit, each within 10 ms
    Then the target is "ready" with a limit of 16

  Scenario: Good runs within the warm-up time do not raise the limit
    When the target answers 5 rounds of runs at its limit, each within 10 ms
    Then the target is "cold" with a limit of 2

  Scenario: Light load raises the limit only to a multiple of that load
    When the target answers 200 single runs, each within 10 ms
    Then the target is "ready" with a limit of 3

  Scenario: A restart resets the target to cold before its next run
    When the target answers 40 rounds of runs at its limit, each within 10 ms
    And the target restarts and reports its new identity
    Then the target is "cold" with a limit of 2

  Scenario: A broken connection lowers the limit until the identity is known
    When the target answers 40 rounds of runs at its limit, each within 10 ms
    And a run on the target ends as "broken"
    Then the target is "ready" with a limit of 2
    When the target reports its identity
    Then the target is "ready" with a limit of 16

  Scenario: A target that was idle for a long time may have restarted unnoticed
    When the target answers 40 rounds of runs at its limit, each within 10 ms
    And the target is idle for 5000 ms
    Then the target is "ready" with a limit of 2

  Scenario Outline: Signs that a target became cold without a restart
    When the target answers 40 rounds of runs at its limit, each within 10 ms
    And <signs> runs on the target end as "<how>" after <firstPartMs> ms
    Then the target is "cold" with a limit of 2

    Examples:
      | signs | how    | firstPartMs |
      | 3     | failed | 10          |
      | 1     | cold   | 0           |
      | 4     | ok     | 2000        |

  Scenario: A slower latency is accepted as the typical one after a long time
    When the target answers 60 rounds of runs at its limit, each within 500 ms
    Then the target is "ready" with a limit of 16

  Scenario: A target that is slower than typical at light load is still cold
    When the target answers 40 rounds of runs at its limit, each within 20 ms
    And the target restarts and reports its new identity
    And the target answers 20 rounds of runs at its limit, each within 80 ms
    Then the target is "cold" with a limit of 2
    When the target answers 40 rounds of runs at its limit, each within 20 ms
    Then the target is "ready" with a limit of 16

  Scenario: A target that cannot be reached is down until it reports its identity
    When a run on the target ends as "unreachable"
    And a run on the target ends as "unreachable"
    Then the target is "down" with a limit of 1
    When the target reports its identity
    Then the target is "cold" with a limit of 2

  Scenario: Raising the limit too early delays the next raise
    When the target answers 15 rounds of runs at its limit, each within 10 ms
    And the target restarts and reports its new identity
    And the target answers 15 rounds of runs at its limit, each within 10 ms
    Then the target is "cold" with a limit of 2

  Scenario: The limit never exceeds what the evidence allows
    Then none of 1000 histories raises the limit beyond the evidence

  Scenario: No crash, idle time or burst overloads a target that is cold no longer than the warm-up time
    Then 100 histories with crashes overload no target behind a cold start limit
    And the naive fixed limit overloads the target in each of them
