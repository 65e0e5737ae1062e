@engine
Feature: Expected prefix caches
  Late and incomplete events give a confidence that decays with age and with lost events.

  Background:
    Given a prefix cache tracker with a half-life of 1000 ms

  Scenario: The hit rate is the cached share of the prompt
    When target "t1" stores the first 2 blocks of a prompt of 4 blocks as event 1
    Then the expected hit rate of the prompt is 0.5 on target "t1" and 0 on target "t2"

  Scenario: Confidence decays with age
    When target "t1" stores the first 4 blocks of a prompt of 4 blocks as event 1
    And 1000 ms pass for the prefix cache tracker
    Then the expected hit rate of the prompt is 0.5 on target "t1" and 0 on target "t2"

  Scenario: Confidence decays with lost events
    When target "t1" stores the first 4 blocks of a prompt of 4 blocks as event 1
    And target "t1" evicts other blocks as event 3
    Then the expected hit rate of the prompt is 0.9 on target "t1" and 0 on target "t2"

  Scenario: A block is useless once an earlier one is evicted
    When target "t1" stores the first 4 blocks of a prompt of 4 blocks as event 1
    And target "t1" evicts block 2 of the prompt as event 2
    Then the expected hit rate of the prompt is 0.25 on target "t1" and 0 on target "t2"

  Scenario: A restart empties the cache
    When target "t1" stores the first 4 blocks of a prompt of 4 blocks as event 1
    And target "t1" restarts and evicts other blocks as event 1
    Then the expected hit rate of the prompt is 0 on target "t1" and 0 on target "t2"

  Scenario: Hit rates are between 0 and 1, and 1 for a prompt that the target has just run
    Then 300 histories of cache events give valid hit rates
