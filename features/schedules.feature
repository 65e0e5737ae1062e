@features
Feature: Histories under faults
  The real tasks of entries and gates run on the manual clock while seeded schedules kill, pause and
  cut them, and the store and the targets fail. A checker reads the history of each run.

  Scenario: The invariants hold on seeded random schedules of faults
    Then 1000 schedules from seed 20261204 break no invariant

  Scenario: The checker refutes run records that die with their gate
    Then some schedule from seed 7 with run records in memory shows "doubled"

  Scenario: Nodes that start while the store is away get the configuration from their peers
    When every gate is killed in turn during a store outage with zone "east-a" out
    Then every call after the outage began is answered
    And no invariant is broken
