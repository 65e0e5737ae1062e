@engine
Feature: Generation on an engine
  A generation is complete, or its error says what is proved about execution.

  Background:
    Given a fake engine that generation tests use

  Scenario: A complete response
    When the engine generates 12 tokens for "plan a lap"
    Then the engine response is complete with 12 tokens

  Scenario: A resumed response continues where the delivered text ends
    When the engine generates 12 tokens for "plan a lap" after 5 delivered tokens
    Then the engine response is complete with 12 tokens

  Scenario: A broken stream is not taken for a complete response
    Given the engine has the fault '{"kind":"break","afterTokens":4,"share":1}'
    When the engine generates 12 tokens for "plan a lap"
    Then the generation fails as "stream-broken" with outcome "may-have-run"
    And 4 tokens of the engine response have arrived

  Scenario: A refusal proves that nothing ran
    Given the engine has the fault '{"kind":"refuse","on":true}'
    When the engine generates 12 tokens for "plan a lap"
    Then the generation fails as "target-refused" with outcome "not-run"
    And the engine has started 0 runs

  Scenario: An engine that is down was never reached
    Given the fake engine of the generation tests is closed
    When the engine generates 12 tokens for "plan a lap"
    Then the generation fails as "target-unreachable" with outcome "not-run"

  Scenario: A failure of the engine proves nothing
    Given the engine has the fault '{"kind":"errors","share":1}'
    When the engine generates 12 tokens for "plan a lap"
    Then the generation fails as "target-failed" with outcome "may-have-run"

  Scenario: Cancelling a call cancels the generation at the engine
    When the generation of 5000 tokens for "plan a lap" is cancelled after the first part
    Then the generation fails as "cancelled" with outcome "may-have-run"
    And the run at the engine ends as "cancelled"

  # Guards against a faulty engine that fills memory with an event that never ends.
  Scenario: An event without end ends the stream
    When an engine sends 2 MB of an event
    Then reading the events fails
