@target
Feature: Calls that crash each target that runs them

  Background:
    Given nodes "a" and "b" that share evidence about crashes

  # Guards against a shared part of prompts that crashes targets through calls that are never alike.
  Scenario: A part is stopped everywhere after three crashes at different nodes
    When target 1 crashes during a call with "deadly" at node "a"
    And target 2 crashes during a call with "deadly" at node "b"
    Then calls with "deadly" are allowed at "a" and "b"
    When target 3 crashes during a call with "deadly" at node "a"
    Then calls with "deadly" are stopped at "a" and "b"

  Scenario: Crashes of one start of a target count once
    When target 1 crashes during a call with "part" at node "a"
    And target 1 crashes during a call with "part" at node "b"
    And target 1 crashes during a call with "part" at node "a"
    Then calls with "part" are allowed at "a" and "b"

  # Guards against stopping sound calls that share a part with those that crash targets.
  Scenario: A part that targets respond to at any node is not stopped
    Given a target responds to a call with "shared" at node "b"
    When targets 1 to 9 crash during calls with "shared" at node "a"
    Then calls with "shared" are allowed at "a" and "b"

  Scenario: A response ends a suspicion
    When targets 1 to 2 crash during calls with "part" at node "a"
    And a target responds to a call with "part" at node "b"
    And 10001 ms pass at the nodes
    And targets 3 to 4 crash during calls with "part" at node "a"
    Then calls with "part" are allowed at "a" and "b"

  Scenario: A part that stops getting responses is stopped once old responses no longer count
    Given a target responds to a call with "part" at node "a"
    When 10001 ms pass at the nodes
    And targets 1 to 3 crash during calls with "part" at node "b"
    Then calls with "part" are stopped at "a" and "b"

  # Guards against stopping sound calls whose part came with a deadly part in each call that crashed.
  Scenario: Of two parts that only came together, one alone is not stopped
    When targets 1 to 3 crash during calls with "common,deadly" at node "a"
    Then calls with "common,deadly" are stopped at "a" and "b"
    And calls with "common" are allowed at "a" and "b"
    When target 4 crashes during a call with "deadly" at node "b"
    Then calls with "deadly" are stopped at "a" and "b"
    And calls with "common" are allowed at "a" and "b"

  # Guards against calls that are refused because they ran on targets that another call crashed.
  Scenario: Calls that only ran on targets that another one crashed go on
    When targets 1 to 3 crash during calls with "poison" at node "a"
    And targets 1 to 3 crash during calls with "neighbour" at node "b"
    And target 4 crashes during a call with "poison" at node "a"
    And targets 3 to 4 crash during calls with "late neighbour" at node "b"
    Then calls with "poison" are stopped at "a" and "b"
    And calls with "neighbour" are allowed at "a" and "b"
    And calls with "late neighbour" are allowed at "a" and "b"

  Scenario: A node that joins learns of the crashes
    When targets 1 to 3 crash during calls with "deadly" at node "a"
    And node "c" joins and gets the crashes that node "a" knows
    Then calls with "deadly" are stopped at "a" and "c"

  # Guards against evidence that nodes pass on to each other for ever.
  Scenario: A node knows which evidence it has already
    When targets 1 to 3 crash during calls with "deadly" at node "a"
    And node "c" joins and gets the crashes that node "a" knows
    Then the crashes that node "a" knows are not new to node "c"
    And of 2 messages that a target responded to "deadly", the first is new to node "c"

  Scenario: Old crashes expire
    When targets 1 to 3 crash during calls with "part" at node "a"
    And 600001 ms pass at the nodes
    Then calls with "part" are allowed at "a" and "b"
