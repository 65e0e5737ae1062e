@resultRoom
Feature: Room for the results of stages
  The results of stages take up memory of the workers that make them. The stages, queues, batch calls and
  the accounting of room are those of the program; workers, links and targets are simulated.

  # Guards against large results that wait for a chain of stages beside them. Started at once, they are
  # kept for 1.49 s each on average, and take the room of more urgent calls.
  Scenario: A large result is made when the chain beside it is nearly done
    Given stage workers at a third of a deployment's size
    When the usual calls come in for 20 s
    Then a result of 1500 KB beside a chain was kept for less than 1100 ms on average
    And at least 90 % of the calls beside a chain were on time

  # Guards against room that is counted by the configured sizes of results alone: 16 % of the calls then
  # find no room for some of their pieces, and each costs its callers another call.
  Scenario: Few calls find no room for their results in a burst of large ones
    Given stage workers at a third of a deployment's size
    When the calls with large results come in at 2.5 times the usual rate for 6 s
    Then less than 5 % of the calls to stage workers found no room

  # Guards against inputs that are kept while the calls that have fetched them run: in a burst they are then
  # kept for 839 ms instead of 640 ms, and the room for them limits the chains.
  Scenario: The inputs of pieces are freed once their calls have begun
    Given stage workers at a third of a deployment's size
    When the calls of chains come in at 2.6 times the usual rate for 6 s
    Then a result of 60 KB of a chain was kept for less than 740 ms on average
    And at least 50 % of the calls of chains were on time
    And fewer than 5 pieces found that their input was gone
