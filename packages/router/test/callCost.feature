@router
Feature: A call does no work that it does not need

  Background:
    Given a router with a route for each kind of call and the targets "a" and "b"

  # Guards against a choice among all targets for a hint that only stages use.
  Scenario: A call without stages chooses its target once
    Given considered targets are counted
    When a "safe" call is made
    Then the caller gets 200 from the target
    And 2 targets were considered
