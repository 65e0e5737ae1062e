Feature: Run records
  A run that may happen at most once is claimed in the store before it is dispatched.

  Scenario: A retry at another gate gets the first result
    Given the gates "A" and "B" with run records
    When gate "A" claims the run "k" for the body "b"
    Then the claim result is "first"
    When gate "A" completes the run "k" with the detail "done"
    And gate "B" claims the run "k" for the body "b"
    Then the claim result is "answered done"
    When gate "B" claims the run "k" for the body "other"
    Then the claim result is "key-reused"

  Scenario: A retry at another gate during the run is answered with may-have-run
    Given the gates "A" and "B" with run records
    When gate "A" claims the run "k" for the body "b"
    And gate "B" claims the run "k" for the body "b"
    Then the claim result is "may-have-run"

  Scenario: A retry at the same gate waits for the result
    Given the gates "A" and "B" with run records
    When gate "A" claims the run "k" for the body "b"
    And a retry of the run "k" waits at gate "A"
    And gate "A" completes the run "k" with the detail "done"
    Then the retry result is "answered done"

  Scenario: A run that did not start is released
    Given the gates "A" and "B" with run records
    When gate "A" claims the run "k" for the body "b"
    And a retry of the run "k" waits at gate "A"
    And gate "A" releases the run "k"
    Then the retry result is "first"

  Scenario: A claim is confirmed after a lost response
    Given the gates "A" and "B" with run records
    When gate "A" has claimed a run before
    And the next 2 responses to run records are lost
    And gate "A" claims the run "k" for the body "b"
    Then the claim result is "first"
    When gate "B" claims the run "k" for the body "b"
    Then the claim result is "may-have-run"

  Scenario: An ambiguous claim is not dispatched and is released later
    Given the gates "A" and "B" with run records
    When gate "A" has claimed a run before
    And the next 4 responses to run records are lost
    And gate "A" claims the run "k" for the body "b"
    Then the claim result is "store-ambiguous, not-run"
    When gate "B" claims the run "k" for the body "b"
    Then the claim result is "may-have-run"
    When 2000 ms pass at the run records
    And gate "B" claims the run "k" for the body "b"
    Then the claim result is "first"

  Scenario: An ambiguous claim is taken over by the gate that made it
    Given the gates "A" and "B" with run records
    When gate "A" has claimed a run before
    And the next 4 responses to run records are lost
    And gate "A" claims the run "k" for the body "b"
    And gate "A" claims the run "k" for the body "b"
    Then the claim result is "first"
    When 5000 ms pass at the run records
    And gate "B" claims the run "k" for the body "b"
    Then the claim result is "may-have-run"

  Scenario: Nothing is claimed during a store outage
    Given the gates "A" and "B" with run records
    When the run record store becomes unavailable
    And gate "A" claims the run "k" for the body "b"
    Then the claim result is "store-unavailable, not-run"

  Scenario: A store that hangs delays a claim for a bounded time only
    Given the gates "A" and "B" with run records
    When gate "A" has claimed a run before
    And the run record store hangs
    And gate "A" claims the run "k" for the body "b"
    Then the claim result is "store-ambiguous, not-run" within 850 ms

  Scenario: Claims succeed after a lease has expired
    Given the gates "A" and "B" with run records
    When gate "A" claims the run "k" for the body "b"
    And the leases of the run records expire
    And gate "A" completes the run "k" with the detail "done"
    And gate "A" claims the run "l" for the body "b"
    Then the claim result is "first"

  Scenario: A result that could not be written is written after the outage
    Given the gates "A" and "B" with run records
    When gate "A" claims the run "k" for the body "b"
    And the run record store becomes unavailable
    And gate "A" completes the run "k" with the detail "done"
    And gate "A" claims the run "k" for the body "b"
    Then the claim result is "answered done"
    When the run record store recovers
    And 5000 ms pass at the run records
    And gate "B" claims the run "k" for the body "b"
    Then the claim result is "answered done"

  Scenario: Claims of one time window make one call, and another one if some conflict
    Given the gates "A" and "B" with run records
    When gate "A" claims 60 runs at once
    Then 60 of the claims have the result "first" after 1 transactions
    When gate "B" claims 80 runs at once
    Then 20 of the claims have the result "first" after 2 transactions

  Scenario: No run is dispatched twice under random fault schedules
    Then over 80 seeded fault schedules no run is dispatched twice and no result is of another run

  Scenario Outline: Store calls for the requests of one second
    Then <share> % of 2500 requests a second over <gates> gates in windows of <window> ms take at most <calls> calls a request

    Examples:
      | share | gates | window | calls |
      | 10    | 4     | 0      | 0.202 |
      | 10    | 4     | 20     | 0.061 |
      | 10    | 16    | 20     | 0.126 |
      | 10    | 64    | 20     | 0.226 |
      | 10    | 64    | 100    | 0.226 |
      | 50    | 4     | 0      | 1.002 |
      | 50    | 4     | 20     | 0.077 |
      | 50    | 16    | 20     | 0.270 |
      | 50    | 64    | 20     | 0.552 |
      | 50    | 64    | 100    | 0.552 |
