@smoothedDurations
Feature: Averages of durations without new samples expire

  Scenario: Durations are averaged with more weight on the old ones
    Given durations of "a" of 100 ms and 200 ms at 0 ms
    Then "a" is expected to take 110 ms at 0 ms
    And "b" is expected to take 0 ms at 0 ms

  Scenario: A long duration expires even if it keeps new work from running
    Given durations of "a" of 9000 ms and 9000 ms at 0 ms
    Then "a" is expected to take 9000 ms at 3000 ms
    And "a" is expected to take 0 ms at 3001 ms
