@eventLog
Feature: The event log is bounded and never blocks

  Scenario: A line has its node, its event and its fields
    Given an event log of the node "router-1"
    When the decision "attempt" on the request "r1" ends as "200"
    Then its line says node "router-1", event "attempt", request "r1" and outcome "200"

  Scenario: Decisions beyond the rate are left out and counted
    Given an event log of the node "router-1"
    When 450 decisions are logged within a second
    Then 400 lines were written and 50 were dropped
    When a second has passed and one more decision is logged
    Then a line says that 50 lines were left out

  Scenario: Beliefs are written beyond the rate
    Given an event log of the node "router-1"
    When 450 decisions are logged within a second
    And a belief is logged
    Then 401 lines were written and 50 were dropped

  Scenario: A full buffer drops lines and counts them
    Given an event log of the node "router-1"
    And its buffer is full
    When 3 decisions are logged within a second
    Then 0 lines were written and 3 were dropped
