@recentTimes
Feature: Durations that are not seen again are forgotten

  Scenario: Durations are smoothed
    Given durations of "a" of 100 ms and 200 ms at 0 ms
    Then "a" is expected to take 110 ms at 0 ms
    And "b" is expected to take 0 ms at 0 ms

  Scenario: A long duration that keeps new ones away does not stay
    Given durations of "a" of 9000 ms and 9000 ms at 0 ms
    Then "a" is expected to take 9000 ms at 3000 ms
    And "a" is expected to take 0 ms at 3001 ms
