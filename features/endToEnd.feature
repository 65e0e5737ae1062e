@features
Feature: The whole path
  A caller's request goes through an entry and a gate to stand-in targets over sockets, and the
  streamed answer comes back.

  Background:
    Given an entry, a gate and stand-in targets with the rules "examples/lautoka.rules"

  Scenario: A request walks four stages and its answer is streamed whole
    When "lautoka-floor" streams route "job-dossier" with prompt "prism 7"
    Then the streamed text is the whole answer of the engine
    And the targets ran the stages encode, retrieve, rerank and generate once each

  Scenario: A request without streaming is answered whole
    When "lautoka-floor" calls route "lap-schedule" with prompt "prism 8"
    Then the answer text is the whole answer of the engine

  Scenario: A call that may not be repeated is made once
    When "lautoka-floor" calls route "batch-release" with key "release-1"
    Then the call is answered
    And the floor service shows 1 effect

  Scenario: A call that may not be repeated needs a key
    When "lautoka-floor" calls route "batch-release" without a key
    Then the call is refused with code 1006 and outcome "not-run"
    And the floor service shows 0 effects

  Scenario: An unknown route is refused
    When "lautoka-floor" calls route "no-such-route" with prompt "x"
    Then the call is refused with code 1002 and outcome "not-run"

  Scenario: A stream that breaks is resumed on another target without a gap
    Given the first engine breaks each stream after 5 tokens
    When "lautoka-floor" streams route "lap-schedule" with prompt "prism 9"
    Then the streamed text is the whole answer of the engine

  Scenario: A graceful shutdown cuts no request
    When "lautoka-floor" streams route "lap-schedule" with prompt "prism 10" while the entry is told to stop
    Then the streamed text is the whole answer of the engine
    And the entry has ended
