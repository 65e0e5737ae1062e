@engine
Feature: Orders to engines, their load and their cache events
  Orders of former lease holders are refused, even if the engine does not check fencing numbers.

  Scenario Outline: An outdated fencing number is refused whether or not the engine checks it
    Given an engine that <behaviour> fencing numbers, behind a guard
    And the guard knows fencing number 5
    When the orders "v6" with number 6 and "v5" with number 5 are sent at once
    Then the orders ended as "ok,old-fencing-number"
    And the engine has executed the orders "v6"

    Examples:
      | behaviour |
      | checks    |
      | ignores   |

  Scenario: A restarted guard forwards nothing until it knows the highest number
    Given an engine that ignores fencing numbers, behind a guard
    When the orders "v6" with number 6 and "v7" with number 7 are sent at once
    Then the orders ended as "store-unavailable,store-unavailable"
    And the engine has executed the orders ""

  Scenario: An engine that checks refuses numbers that a new guard does not know to be outdated
    Given an engine that checks fencing numbers, behind a guard
    And the engine was sent the order "v9" with number 9 without the guard
    And the guard knows fencing number 5
    When the orders "v6" with number 6 and "v7" with number 7 are sent at once
    Then the orders ended as "old-fencing-number,old-fencing-number"

  Scenario: Load, identity and cache events of an engine are received
    Given an engine that checks fencing numbers, behind a guard
    When the engine is observed until it has reported its load and 1 cache event
    Then the reports contained the identity of the engine and its version "v1"
