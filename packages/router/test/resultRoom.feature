@resultRoom
Feature: Room for the results of stages
  The results of stages take up memory of the workers that make them. The stages, queues, batch calls and
  the accounting of room are those of the program; workers, links and targets are simulated.

  # Guards against large results that wait for a chain of stages beside them. Started at once, they are
  # kept for 1.9 s each, and take the room of more urgent calls.
  Scenario: A large result is made when the chain beside it is nearly done
    Given stage workers at a third of a deployment's size
    When the usual calls come in for 10 s
    Then a large result beside a chain was kept for less than 1400 ms on average
    And at least 90 % of the calls beside a chain were on time
