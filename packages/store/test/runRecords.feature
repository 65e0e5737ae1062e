Feature: Run records
  A run that may not be repeated is claimed in the store before it is dispatched.

  Scenario: A repeat at another gate gets the first answer
    Given the gates "A" and "B" with run records
    When gate "A" claims the run "k" for the body "b"
    Then the claim is told as "first"
    When gate "A" completes the run "k" with the detail "done"
    And gate "B" claims the run "k" for the body "b"
    Then the claim is told as "answered done"
    When gate "B" claims the run "k" for the body "other"
    Then the claim is told as "key-reused"

  Scenario: A repeat at another gate while the run goes on may have run
    Given the gates "A" and "B" with run records
    When gate "A" claims the run "k" for the body "b"
    And gate "B" claims the run "k" for the body "b"
    Then the claim is told as "may-have-run"

  Scenario: A repeat at the same gate waits for the answer
    Given the gates "A" and "B" with run records
    When gate "A" claims the run "k" for the body "b"
    And a repeat of the run "k" waits at gate "A"
    And gate "A" completes the run "k" with the detail "done"
    Then the repeat is told as "answered done"

  Scenario: A run that did not start is released
    Given the gates "A" and "B" with run records
    When gate "A" claims the run "k" for the body "b"
    And a repeat of the run "k" waits at gate "A"
    And gate "A" releases the run "k"
    Then the repeat is told as "first"

  Scenario: A lost answer is found again
    Given the gates "A" and "B" with run records
    When gate "A" has claimed a run before
    And the next 2 answers to run records are lost
    And gate "A" claims the run "k" for the body "b"
    Then the claim is told as "first"
    When gate "B" claims the run "k" for the body "b"
    Then the claim is told as "may-have-run"

  Scenario: A claim that stays unknown is not dispatched, and later released
    Given the gates "A" and "B" with run records
    When gate "A" has claimed a run before
    And the next 4 answers to run records are lost
    And gate "A" claims the run "k" for the body "b"
    Then the claim is told as "store-ambiguous, not-run"
    When gate "B" claims the run "k" for the body "b"
    Then the claim is told as "may-have-run"
    When 2000 ms pass at the run records
    And gate "B" claims the run "k" for the body "b"
    Then the claim is told as "first"

  Scenario: A claim that stayed unknown is taken over by the gate that made it
    Given the gates "A" and "B" with run records
    When gate "A" has claimed a run before
    And the next 4 answers to run records are lost
    And gate "A" claims the run "k" for the body "b"
    And gate "A" claims the run "k" for the body "b"
    Then the claim is told as "first"
    When 5000 ms pass at the run records
    And gate "B" claims the run "k" for the body "b"
    Then the claim is told as "may-have-run"

  Scenario: Nothing is claimed while the store is away
    Given the gates "A" and "B" with run records
    When the store of the run records goes away
    And gate "A" claims the run "k" for the body "b"
    Then the claim is told as "store-unavailable, not-run"

  Scenario: A store that hangs holds a claim up for a bounded time
    Given the gates "A" and "B" with run records
    When gate "A" has claimed a run before
    And the store of the run records hangs
    And gate "A" claims the run "k" for the body "b"
    Then the claim is told as "store-ambiguous, not-run" within 850 ms

  Scenario: Claims go on after a lease has lapsed
    Given the gates "A" and "B" with run records
    When gate "A" claims the run "k" for the body "b"
    And the leases of the run records lapse
    And gate "A" completes the run "k" with the detail "done"
    And gate "A" claims the run "l" for the body "b"
    Then the claim is told as "first"

  Scenario: An answer that could not be written is written after the outage
    Given the gates "A" and "B" with run records
    When gate "A" claims the run "k" for the body "b"
    And the store of the run records goes away
    And gate "A" completes the run "k" with the detail "done"
    And gate "A" claims the run "k" for the body "b"
    Then the claim is told as "answered done"
    When the store of the run records comes back
    And 5000 ms pass at the run records
    And gate "B" claims the run "k" for the body "b"
    Then the claim is told as "answered done"

  Scenario: Claims of one window make one call, and one more when some conflict
    Given the gates "A" and "B" with run records
    When gate "A" claims 60 runs at once
    Then 60 of the claims are told as "first" after 1 transactions
    When gate "B" claims 80 runs at once
    Then 20 of the claims are told as "first" after 2 transactions

  Scenario: No run is dispatched twice under any schedule of faults
    Then over 80 seeded schedules no run is dispatched twice and no answer is of another run

  Scenario Outline: Store calls of a second of requests
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
