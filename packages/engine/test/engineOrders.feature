@engine
Feature: Orders to engines, their load and their cache events
  Orders of former lease holders are refused, also by engines that obey any.

  Scenario Outline: An old fencing number is refused whether or not the engine checks
    Given an engine that <habit> fencing numbers, behind a guard
    And the guard has learnt fencing number 5
    When the orders "v6" with number 6 and "v5" with number 5 are given at once
    Then the orders ended as "ok,old-fencing-number"
    And the engine has carried out the orders "v6"

    Examples:
      | habit   |
      | checks  |
      | ignores |

  Scenario: A guard that has restarted passes nothing until it knows the highest number
    Given an engine that ignores fencing numbers, behind a guard
    When the orders "v6" with number 6 and "v7" with number 7 are given at once
    Then the orders ended as "store-unavailable,store-unavailable"
    And the engine has carried out the orders ""

  Scenario: An engine that checks refuses what it knows better than a new guard
    Given an engine that checks fencing numbers, behind a guard
    And the engine was given the order "v9" with number 9 past the guard
    And the guard has learnt fencing number 5
    When the orders "v6" with number 6 and "v7" with number 7 are given at once
    Then the orders ended as "old-fencing-number,old-fencing-number"

  Scenario: Load, identity and cache events of an engine arrive
    Given an engine that checks fencing numbers, behind a guard
    When the engine is watched until it has told its load and 1 cache event
    Then the watch has told the identity of the engine and its version "v1"
