@hostList
Feature: Polling the host list
  The list lags behind the actual hosts; the last hosts stay in use while it cannot be fetched.

  Scenario: Changes appear after the lag, and an outage changes nothing
    Given a fake host list with a lag of 40 ms
    And the host list is polled every 10 ms
    When the platform lists the host "gate-1"
    And the clock of the host list advances by 30 ms
    Then the polled hosts are ""
    When the clock of the host list advances by 30 ms
    Then the polled hosts are "gate-1"
    When the host list goes down
    And the clock of the host list advances by 30 ms
    Then the polled hosts are "gate-1"
    And a failure to fetch the host list was reported

  # Guards against nodes that stop following the list because of one odd item of another writer.
  Scenario Outline: An odd item names no host, and the others hold
    Given a fake host list with a lag of 0 ms
    And the host list is polled every 10 ms
    When the platform lists the host "gate-1"
    And the clock of the host list advances by 30 ms
    And the platform lists the host "gate-2" and one whose <field> is <value>
    And the clock of the host list advances by 30 ms
    Then the polled hosts are "gate-2"

    Examples:
      | field | value        |
      | port  | 0            |
      | port  | 65536        |
      | port  | 99999999     |
      | port  | 1e308        |
      | port  | "http"       |
      | state | "odd"        |
      | name  | [[[[[]]]]]   |
      | role  | null         |
