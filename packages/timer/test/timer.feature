@timer
Feature: Timer service
  All components use one timer service; tests advance its clock manually.

  Scenario: Timers fire in order of their due time
    Given a timer service on a manual clock
    When timers are armed after 30, 10 and 20 ms
    And the clock advances by 25 ms
    Then the timers 10 and 20 have fired in this order

  Scenario: A repeated timer stops when it is cancelled
    Given a timer service on a manual clock
    When a timer repeats every 10 ms
    And the clock advances by 35 ms
    And the repeated timer is cancelled
    And the clock advances by 50 ms
    Then the repeated timer has fired 3 times

  Scenario: A time limit aborts its signal when the time is up
    Given a timer service on a manual clock
    When a time limit of 40 ms starts
    And the clock advances by 39 ms
    Then the time limit has not aborted
    When the clock advances by 1 ms
    Then the time limit has aborted
