@router
Feature: A router reports that its event loop was blocked

  # Guards against lateness of the whole process that no log line or metric shows.
  Scenario: A blocked event loop is reported once for each second
    Given an event loop watch
    When the event loop runs for 3000 ms
    Then 0 lags are reported
    When the event loop is blocked for 700 ms and runs for 2000 ms
    Then 1 lag is reported, of 600 to 700 ms

  # Guards against a request that waited for seconds while the event loop was blocked, and is then served as a new one.
  Scenario: What is read after a blocked event loop may have waited as long
    Given an event loop watch
    When the event loop runs for 1000 ms
    Then what is read next has waited for 0 to 0 ms
    When the event loop is blocked for 700 ms and runs for 100 ms
    Then what is read next has waited for 600 to 700 ms
    When the event loop runs for 1000 ms
    Then what is read next has waited for 0 to 0 ms

  # Guards against requests that a process which was paused while it waited for data takes for new ones.
  Scenario: What is read before an overdue check may have waited as long
    Given an event loop watch
    When the event loop is blocked for 700 ms
    Then what is read now has waited for 600 to 700 ms

  # Guards against a call that ends after its deadline, as the timer that ends it fires late.
  Scenario Outline: The timer of a call is armed earlier while timers fire late
    When a call with <left> ms left is limited while timers fire <lag> ms late
    Then its timer is armed for <limit> ms

    Examples:
      | left | lag  | limit |
      | 2000 | 0    | 2060  |
      | 2000 | 300  | 1760  |
      | 340  | 3000 | 200   |
      | -100 | 50   | 0     |
