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

  # Guards against stages that run for calls whose callers have left by the time of the response, against callers
  # that wait for most of their time before they are refused, and against refusals of more urgent calls.
  Scenario: In a long overload calls that would fail are refused on arrival
    Given the usual load of A, B and C calls
    When calls of class A come 2.5 times as often for 15 s, and again without refusals on arrival
    Then refusals save at least 40 of 100 stage results of calls without a response
    And refusals cost classes A and B at most 1 of 100 responses
    And calls of class C without a response end in at most 75 of 100 of the time
