@burst
Feature: A burst of one class of calls
  Three stage services are used to about a half. A calls are the most urgent, with one stage; B calls
  have three stages in a row; C calls, the least urgent, have the stages of both.

  # Guards against queues in which all calls of a burst are a little late, and stay so after it.
  Scenario Outline: Most calls are on time in a burst, and all are soon after it
    Given the usual load of A, B and C calls
    When calls of class <class> come 2.5 times as often for 6 s
    Then at least <percent> of 100 calls of class <class> in the burst are on time
    And from 5 s after the burst on at least 95 of 100 calls of each class are on time

    Examples:
      | class | percent |
      | A     | 75      |
      | B     | 75      |

  # Shows that the scenario above depends on the order.
  Scenario Outline: In the former order more calls of a burst are late
    Given the usual load of A, B and C calls
    And pieces are taken by the due time of their call
    When calls of class <class> come 2.5 times as often for 6 s
    Then at most <percent> of 100 calls of class <class> in the burst are on time

    Examples:
      | class | percent |
      | A     | 50      |
      | B     | 70      |

  # Guards against stages that run for calls whose callers have left by the time of the response, and against
  # refusals that cost the least urgent calls more than they save.
  Scenario: In a long overload calls that would fail are held, and no class gets fewer responses
    Given the usual load of A, B and C calls
    When calls of class A come 2.5 times as often for 15 s, and again while stages start at once
    Then holding calls saves at least 10 of 100 stage results of calls without a response
    And holding calls costs no class more than 1 of 100 responses
