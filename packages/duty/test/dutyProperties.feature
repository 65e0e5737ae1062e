@dutyProperties
Feature: Duties under any order of failures

  # Guards against orders of failures that no scenario has.
  Scenario: Failures in any order
    Given three routers that share a duty, and any failures in any order
    Then no two of them have the same token, tokens only grow, and none acts again soon after it was succeeded
    And when all failures have ended, one of them holds the duty
