@features
Feature: Histories under faults
  The real tasks of entries and gates run on a manual clock. Seeded random schedules kill and pause
  nodes, cut links, and make the store and the targets fail. A checker checks the history of each run.

  Scenario: The invariants hold under random schedules of faults
    Then 1000 schedules from seed 20261204 have no violations

  # Guards against calls that a stopping entry has read and whose connections it closes without an answer.
  Scenario: Overlapping stops of entries and gates leave no call without an answer
    Then 300 schedules of stops from seed 20261205 have no violations

  Scenario: The checker detects run records that are lost with their gate
    Then some schedule from seed 7 with run records in memory has a violation of kind "doubled"

  Scenario: Nodes that start during a store outage get the configuration from their peers
    When every gate is killed in turn during a store outage with zone "east-a" out
    Then every call after the outage began is answered
    And the history has no violations

  # Guards against a shared part of prompts that crashes engines one after another, through prompts never alike.
  Scenario: A part of prompts that crashes engines is stopped, and prompts that share the others are served
    When 40 drafts with a part that crashes engines come among 120 that share their other parts
    Then at most 5 runs of drafts with that part reached engines
    And at least 114 of the others are answered
    And the history has no violations
