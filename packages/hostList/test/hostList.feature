@hostList
Feature: Following the host list
  The list lags; the last hosts stand while it cannot be read.

  Scenario: Changes show after the lag, and an outage changes nothing
    Given a fake host list with a lag of 40 ms
    And the host list is followed every 10 ms
    When the platform lists the host "gate-1"
    And the clock of the host list advances by 30 ms
    Then the followed hosts are ""
    When the clock of the host list advances by 30 ms
    Then the followed hosts are "gate-1"
    When the host list goes down
    And the clock of the host list advances by 30 ms
    Then the followed hosts are "gate-1"
    And a failure to read the host list was told
