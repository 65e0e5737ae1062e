@engine
Feature: Expected prefix caches
  Late and gappy events give a belief that fades with age and with lost events.

  Background:
    Given a prefix cache with a half-life of 1000 ms

  Scenario: The score is the cached share of the prompt
    When target "t1" stores the first 2 blocks of a prompt of 4 blocks as event 1
    Then the score of the prompt is 0.5 on target "t1" and 0 on target "t2"

  Scenario: Belief fades with age
    When target "t1" stores the first 4 blocks of a prompt of 4 blocks as event 1
    And 1000 ms pass for the prefix cache
    Then the score of the prompt is 0.5 on target "t1" and 0 on target "t2"

  Scenario: Belief fades with lost events
    When target "t1" stores the first 4 blocks of a prompt of 4 blocks as event 1
    And target "t1" evicts other blocks as event 3
    Then the score of the prompt is 0.9 on target "t1" and 0 on target "t2"

  Scenario: A block is of no use once an earlier one is evicted
    When target "t1" stores the first 4 blocks of a prompt of 4 blocks as event 1
    And target "t1" evicts block 2 of the prompt as event 2
    Then the score of the prompt is 0.25 on target "t1" and 0 on target "t2"

  Scenario: A restart empties the cache
    When target "t1" stores the first 4 blocks of a prompt of 4 blocks as event 1
    And target "t1" restarts and evicts other blocks as event 1
    Then the score of the prompt is 0 on target "t1" and 0 on target "t2"

  Scenario: Scores stay between 0 and 1 and order targets by what they hold
    Then 300 histories of cache events give fitting scores
