@features
Feature: End to end
  A caller's request goes over sockets through an entry and a gate to fake targets, and the response
  is streamed back.

  Background:
    Given an entry, a gate and fake targets with the rules "examples/lautoka.rules"

  Scenario: A request runs four stages and its response is streamed completely
    When "lautoka-floor" streams route "job-dossier" with prompt "prism 7"
    Then the streamed text is the complete response of the engine
    And the targets ran the stages encode, retrieve, rerank and generate once each

  Scenario: A request without streaming gets the complete response
    When "lautoka-floor" calls route "lap-schedule" with prompt "prism 8"
    Then the response text is the complete response of the engine

  Scenario: An at-most-once call runs once
    When "lautoka-floor" calls route "batch-release" with key "release-1"
    Then the call is answered
    And the floor service shows 1 effect

  Scenario: An at-most-once call needs a key
    When "lautoka-floor" calls route "batch-release" without a key
    Then the call is refused with code 1006 and outcome "not-run"
    And the floor service shows 0 effects

  Scenario: An unknown route is refused
    When "lautoka-floor" calls route "no-such-route" with prompt "x"
    Then the call is refused with code 1002 and outcome "not-run"

  Scenario: A stream that breaks is resumed on another target without a gap
    Given the first engine breaks each stream after 5 tokens
    When "lautoka-floor" streams route "lap-schedule" with prompt "prism 9"
    Then the streamed text is the complete response of the engine

  Scenario: A graceful shutdown interrupts no request
    When "lautoka-floor" streams route "lap-schedule" with prompt "prism 10" while the entry shuts down
    Then the streamed text is the complete response of the engine
    And the entry has stopped
