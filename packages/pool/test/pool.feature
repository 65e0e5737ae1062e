@pool
Feature: Stages on a pool
  A pool response is complete, or the error says what is proved about the execution of the stage.

  Background:
    Given a fake pool worker

  Scenario: Vectors come in the order of their texts
    When the pool encodes "pitch" and "slurry"
    Then the pool result has the vectors of "pitch" and "slurry"

  Scenario: Passages are retrieved and ordered by score
    When the pool retrieves 3 passages for "pitch"
    And the pool reranks them for "pitch"
    Then the pool result has all 3 passages, best first

  Scenario: A refusal proves that nothing ran
    Given the pool worker refuses
    When the pool encodes "pitch" and "slurry"
    Then the pool stage fails as "target-refused" with outcome "not-run"

  Scenario: A crash while the stage runs proves nothing
    Given the pool worker hangs and crashes once it is reached
    When the pool encodes "pitch" and "slurry"
    Then the pool stage fails as "stream-broken" with outcome "may-have-run"
    And the run at the pool worker ended as "crashed"
