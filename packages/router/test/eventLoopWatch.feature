@router
Feature: A router reports that its event loop was blocked

  # Guards against lateness of the whole process that no log line or metric shows.
  Scenario: A blocked event loop is reported once for each second
    Given an event loop watch
    When the event loop runs for 3000 ms
    Then 0 lags are reported
    When the event loop is blocked for 700 ms and runs for 2000 ms
    Then 1 lag is reported, of 600 to 700 ms
