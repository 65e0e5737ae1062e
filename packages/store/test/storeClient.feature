@store
Feature: Store client
  Lost answers, outages and gaps of the platform's store never change what a caller is told.

  Scenario: An answer lost after the write took effect is found again
    Given a store client of a stand-in store
    When the next 1 store answers are lost
    And the store key "a" is swapped from absent to "one"
    Then the swap is told as "swapped"
    And the store key "a" holds "one" after 1 writes

  Scenario: A request lost before the write took effect is sent again
    Given a store client of a stand-in store
    When the next 2 store requests are lost
    And the store key "a" is swapped from absent to "one"
    Then the swap is told as "swapped"
    And the store key "a" holds "one" after 1 writes

  Scenario: A write that takes effect after its time limit is not doubled
    Given a store client of a stand-in store
    When the stand-in store is slow by 1500 ms
    And the store key "a" is swapped from absent to "one"
    And 10000 ms pass at the store client
    Then the swap is told as "store-ambiguous"
    And the store key "a" holds "one" after 1 writes

  Scenario: A swap on an old revision is a conflict
    Given a store client of a stand-in store
    When the store key "a" is swapped from absent to "one"
    And the store key "a" is swapped from absent to "two"
    Then the swap is told as "conflict"
    And the store key "a" holds "one" after 1 writes

  Scenario: A lost answer whose key has changed since is told apart from a conflict
    Given a store client of a stand-in store
    When the next 1 store answers are lost
    And the store key "a" is swapped from absent to "one" while another client writes "two" over it
    Then the swap is told as "superseded"

  Scenario: An outage is told as such
    Given a store client of a stand-in store
    When the stand-in store has an outage
    Then reading the store key "a" is told as "store-unavailable"
    When the store key "a" is swapped from absent to "one"
    Then the swap is told as "store-ambiguous"

  Scenario: A client keeps to its budget of calls
    Given a store client with a budget of 5 calls a second
    When the store client reads 8 times at once
    Then 5 store reads were answered and 3 were told "call-budget-spent"
    When 1000 ms pass at the store client
    And the store client reads 8 times at once
    Then 5 store reads were answered and 3 were told "call-budget-spent"
    And the store client counts 10 "range" calls

  Scenario: A watch goes on after the last change it has seen
    Given a store client of a stand-in store
    And a watch of the store prefix "w/"
    When the store key "w/a" is swapped from absent to "one"
    And the stand-in store has an outage
    And the store key "w/b" is written behind the client
    And 3000 ms pass at the store client
    And the stand-in store comes back
    And the store key "w/c" is written behind the client
    And 10000 ms pass at the store client
    Then the watch has seen "put w/a, lost, found, put w/b, put w/c"

  Scenario: A watch that the store has forgotten tells of the gap
    Given a store client of a stand-in store
    And a watch of the store prefix "w/"
    When the stand-in store has an outage
    And the store key "w/a" is written behind the client
    And the stand-in store forgets its history
    And the stand-in store comes back
    And 10000 ms pass at the store client
    And the store key "w/b" is written behind the client
    And 10 ms pass at the store client
    Then the watch has seen "lost, found, gap, put w/b"

  Scenario: Several prefixes share one watch
    Given a store client of a stand-in store
    And a watch hub of the store prefix "w/"
    When the store key "w/a/1" is written behind the client
    And the watch hub follows "w/a/"
    And the watch hub follows "w/b/"
    And the store key "w/b/1" is written behind the client
    And the store key "w/a/2" is written behind the client
    And the stand-in store has an outage
    And the store key "w/a/3" is written behind the client
    And the stand-in store comes back
    And 10000 ms pass at the store client
    Then the watch has seen "put w/a/1, put w/b/1, put w/a/2, lost, found, put w/a/3"
    And the stand-in store has 1 watch open

  Scenario: 340 watches come back without a stampede
    Given 340 watches of one stand-in store
    When the stand-in store has an outage
    And 30000 ms pass at the store client
    And the stand-in store comes back
    Then at most 200 store calls are made in each of the next 10 seconds
    And 340 watches are open again

  Scenario: A swap counts once under any schedule of faults
    Then over 60 seeded schedules of faults the counter stays within what its writers were told

  Scenario: The client and the stand-in meet over HTTP
    Given a store client of a stand-in store over HTTP
    When "loseAnswers" is ordered as 1 over HTTP
    And the store key "a" is swapped from absent to "one"
    Then the swap is told as "swapped"
    And the HTTP stand-in has counted 2 "txn" calls
    When the store key "w/a" is written behind the client
    And a watch of the store prefix "w/"
    Then the watch over HTTP comes to see "put w/a"
    When "outage" is ordered as true over HTTP
    Then reading the store key "a" is told as "store-unavailable"
