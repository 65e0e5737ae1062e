@fakes
Feature: A fake engine
  Tests and the benchmark run against the fake engine, so it must behave as a real engine does.

  Scenario: The time per token grows with the size of the batch
    Given a batch with 10 ms a token, 5 ms for each further request and at most 2 requests
    When jobs of 4, 4 and 1 tokens are submitted
    Then the jobs end after 55, 70 and 70 ms

  Scenario: Jobs with a lower priority number leave the queue first
    Given a batch with 10 ms a token, 0 ms for each further request and at most 1 request
    When jobs of 1 token with priorities 0, 1 and 0 are submitted
    Then the jobs end after 10, 30 and 20 ms

  Scenario: A cold engine with too many requests crashes and restarts
    Given a fake engine that crashes on more than 1 concurrent request in its first 60000 ms
    When 2 requests run concurrently on the fake engine
    Then the runs at the fake engine ended as "crashed,crashed"
    And the fake engine counts 1 cold overload and has started 2 times

  Scenario: A cold engine that refuses requests counts an overload and stays up
    Given a fake engine that refuses more than 1 concurrent request in its first 60000 ms
    When a second request arrives at the fake engine while the first hangs
    Then the runs at the fake engine ended as "cancelled,refused"
    And the fake engine counts 1 cold overload and has started 1 times

  Scenario: A poison prompt crashes the engine
    Given a fake engine that crashes on the prompt "poison"
    When the fake engine receives the prompt "a poison prompt"
    Then the runs at the fake engine ended as "crashed"

  Scenario: The faults of a version begin after some runs and on one route only
    Given a fake engine with version "v2"
    And version "v2" of the fake engine fails after 2 runs on route "assistant"
    When the fake engine receives 3 prompts on route "assistant" and 1 on route "drafts"
    Then the runs at the fake engine ended as "answered,answered,failed,answered"

  Scenario: Cache events report stored and evicted prefixes
    Given a fake engine with a cache of 2 blocks that loses no events
    When a client subscribes to its cache events
    And the fake engine receives prompts of 3, 1 and 1 blocks
    Then the cache events are "stored 3, evicted 1, stored 1, evicted 1"

  Scenario: An engine that checks fencing numbers refuses an old one
    Given a fake engine with version "v1"
    When it is ordered to load version "v3" with fencing number 7
    And it is ordered to load version "v2" with fencing number 6
    Then the fake engine responded to its orders with status "200,409" and runs version "v3"
