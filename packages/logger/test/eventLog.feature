@eventLog
Feature: The event log is rate-limited and never blocks

  Scenario: A line holds its node, event and fields
    Given an event log of the node "router-1"
    When the decision "attempt" on the request "r1" ends as "200"
    Then its line has node "router-1", event "attempt", request "r1" and outcome "200"

  # Guards against lines as long as an entry that another process wrote.
  Scenario: Long texts are shortened
    Given an event log of the node "router-1"
    When the decision "attempt" on a request with an id of 100000 characters ends as "200"
    Then its line has at most 2000 characters

  Scenario: Decisions above the rate limit are skipped and counted
    Given an event log of the node "router-1"
    When 450 decisions are logged within a second
    Then 400 lines were written and 50 were dropped
    When a second has passed and one more decision is logged
    Then a line says that 50 lines were skipped

  Scenario: Changes of the node's view are exempt from the rate limit
    Given an event log of the node "router-1"
    When 450 decisions are logged within a second
    And a change of the node's view is logged
    Then 401 lines were written and 50 were dropped

  Scenario: Lines that do not fit a full buffer are dropped and counted
    Given an event log of the node "router-1"
    And its buffer is full
    When 3 decisions are logged within a second
    Then 0 lines were written and 3 were dropped
