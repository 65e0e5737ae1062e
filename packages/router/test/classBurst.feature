@classBurst
Feature: A burst of all classes of calls
  The stages, queues, batch calls, decisions and the accounting of room are those of the program; workers, links
  and targets are simulated. C calls, the least urgent, have a large result beside a chain of stages.

  # Guards against an overload that sustains itself, or whose load falls on those whose loss costs callers most.
  Scenario: Calls of all classes in a burst are served as well as workers allow, and soon as usual after it
    Given stage workers at a third of a deployment's size, with all parts
    When all calls come in at 2.5 times the usual rate for 6 s
    Then at least 75 % of A, 65 % of B and 0 % of C calls were on time
    And at least 75 % of the calls beside a chain got a response
    And at most 1 % of the calls of the burst ended without an answer
    And from 5 s after the burst on calls were on time as often as 95 % of before it

  # Shows that the scenario above depends on each part of what decides in an overload.
  Scenario Outline: In a burst of all classes without <part>, <loss>
    Given stage workers at a third of a deployment's size, without <part>
    When all calls come in at 2.5 times the usual rate for 6 s
    Then <loss>

    Examples:
      | part            | loss                                                             |
      | the order       | at most 50 % of A, 50 % of B and 100 % of C calls were on time   |
      | holding calls   | less than 72 % of the calls beside a chain got a response        |
      | early rejection | more than 2 % of the calls of the burst ended without an answer  |
