@caller
Feature: Limits of an organisation
  A limit holds over all entries together; each entry enforces an equal share.

  Scenario: All entries together admit no more than the limit
    Given 3 limiters that share a limit of 30 calls a second and 12 in flight
    When each limiter is asked for 50 calls in one second
    Then together they admit 12 calls that run at once
    When every admitted call ends and a second passes
    Then the limiters admit calls again

  Scenario: A refusal by rate says when to retry
    Given 1 limiters that share a limit of 2 calls a second and 100 in flight
    When each limiter is asked for 5 calls in one second
    Then the last limiter refuses with reason "rate" and a retry after 500 ms
