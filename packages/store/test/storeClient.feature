@store
Feature: Store client
  Lost responses, outages and watch gaps of the platform's store never lead to wrong results.

  Scenario: A swap whose response was lost after it took effect is confirmed
    Given a store client of a fake store
    When the next 1 store responses are lost
    And the store key "a" is swapped from absent to "one"
    Then the swap result is "swapped"
    And the store key "a" holds "one" after 1 writes

  Scenario: A request that was lost before the write took effect is sent again
    Given a store client of a fake store
    When the next 2 store requests are lost
    And the store key "a" is swapped from absent to "one"
    Then the swap result is "swapped"
    And the store key "a" holds "one" after 1 writes

  Scenario: A write that takes effect after its time limit is not applied twice
    Given a store client of a fake store
    When the fake store is slow by 1500 ms
    And the store key "a" is swapped from absent to "one"
    And 10000 ms pass at the store client
    Then the swap result is "store-ambiguous"
    And the store key "a" holds "one" after 1 writes

  Scenario: A swap on an old revision is a conflict
    Given a store client of a fake store
    When the store key "a" is swapped from absent to "one"
    And the store key "a" is swapped from absent to "two"
    Then the swap result is "conflict"
    And the store key "a" holds "one" after 1 writes

  Scenario: A lost response to a swap whose key has changed since is not reported as a conflict
    Given a store client of a fake store
    When the next 1 store responses are lost
    And the store key "a" is swapped from absent to "one" while another client writes "two" over it
    Then the swap result is "superseded"

  Scenario: An outage is reported as an error
    Given a store client of a fake store
    When the fake store has an outage
    Then reading the store key "a" fails with "store-unavailable"
    When the store key "a" is swapped from absent to "one"
    Then the swap result is "store-ambiguous"

  Scenario: A client does not exceed its call budget
    Given a store client with a budget of 5 calls a second
    When the store client reads 8 times at once
    Then 5 store reads succeeded and 3 failed with "call-budget-spent"
    When 1000 ms pass at the store client
    And the store client reads 8 times at once
    Then 5 store reads succeeded and 3 failed with "call-budget-spent"
    And the store client counts 10 "range" calls

  Scenario: A watch resumes after the last change it has seen
    Given a store client of a fake store
    And a watch of the store prefix "w/"
    When the store key "w/a" is swapped from absent to "one"
    And the fake store has an outage
    And another client writes the store key "w/b"
    And 3000 ms pass at the store client
    And the fake store recovers
    And another client writes the store key "w/c"
    And 10000 ms pass at the store client
    Then the watch has seen "put w/a, lost, found, put w/b, put w/c"

  Scenario: A watch whose history was compacted reports a gap
    Given a store client of a fake store
    And a watch of the store prefix "w/"
    When the fake store has an outage
    And another client writes the store key "w/a"
    And the fake store compacts its history
    And the fake store recovers
    And 10000 ms pass at the store client
    And another client writes the store key "w/b"
    And 10 ms pass at the store client
    Then the watch has seen "lost, found, gap, put w/b"

  Scenario: Several prefixes share one watch
    Given a store client of a fake store
    And a watch hub of the store prefix "w/"
    When another client writes the store key "w/a/1"
    And the watch hub follows "w/a/"
    And the watch hub follows "w/b/"
    And another client writes the store key "w/b/1"
    And another client writes the store key "w/a/2"
    And the fake store has an outage
    And another client writes the store key "w/a/3"
    And the fake store recovers
    And 10000 ms pass at the store client
    Then the watch has seen "put w/a/1, put w/b/1, put w/a/2, lost, found, put w/a/3"
    And the fake store has 1 watch open

  Scenario: 340 watches reopen without a burst of calls
    Given 340 watches of one fake store
    When the fake store has an outage
    And 30000 ms pass at the store client
    And the fake store recovers
    Then at most 200 store calls are made in each of the next 10 seconds
    And 340 watches are open again

  Scenario: A swap is applied at most once under random fault schedules
    Then over 60 seeded fault schedules the counter matches the results reported to its writers

  Scenario: The client talks to the fake store over HTTP
    Given a store client of a fake store over HTTP
    When "loseAnswers" is set to 1 over HTTP
    And the store key "a" is swapped from absent to "one"
    Then the swap result is "swapped"
    And the fake HTTP store has counted 2 "txn" calls
    When another client writes the store key "w/a"
    And a watch of the store prefix "w/"
    Then the watch over HTTP eventually sees "put w/a"
    When "outage" is set to true over HTTP
    Then reading the store key "a" fails with "store-unavailable"
