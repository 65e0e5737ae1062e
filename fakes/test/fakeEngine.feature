@fakes
Feature: A fake engine
  It behaves as the brief says of engines, so that tests and the bench can rely on it.

  Scenario: Time between tokens grows with the batch
    Given a batch with 10 ms a token, 5 ms for each further request and room for 2
    When jobs of 4, 4 and 1 tokens are submitted
    Then the jobs end after 55, 70 and 70 ms

  Scenario: Urgent jobs leave the queue first
    Given a batch with 10 ms a token, 0 ms for each further request and room for 1
    When jobs of 1 token with priorities 0, 1 and 0 are submitted
    Then the jobs end after 10, 30 and 20 ms

  Scenario: More load than a cold engine bears makes it crash and start anew
    Given a fake engine that bears 1 request for 60000 ms after its start
    When 2 requests run on the fake engine at once
    Then the runs at the fake engine ended as "crashed,crashed"
    And the fake engine counts 1 cold overload and has started 2 times

  Scenario: A cold engine that refuses is overloaded, and stays up
    Given a fake engine that refuses more than 1 request for 60000 ms after its start
    When a second request comes to the fake engine while the first hangs
    Then the runs at the fake engine ended as "cancelled,refused"
    And the fake engine counts 1 cold overload and has started 1 times

  Scenario: A poison prompt crashes the engine
    Given a fake engine that the prompt "poison" crashes
    When the fake engine gets the prompt "a poison prompt"
    Then the runs at the fake engine ended as "crashed"

  Scenario: A bad version shows late and on one route only
    Given a fake engine with version "v2"
    And version "v2" of the fake engine fails after 2 runs on route "assistant"
    When the fake engine gets 3 prompts on route "assistant" and 1 on route "drafts"
    Then the runs at the fake engine ended as "answered,answered,failed,answered"

  Scenario: Cache events tell stored and evicted prefixes, with a gap
    Given a fake engine with a cache of 2 blocks that loses no event
    When a subscriber follows its cache events
    And the fake engine gets prompts of 3, 1 and 1 blocks
    Then the cache events are "stored 3, evicted 1, stored 1, evicted 1"

  Scenario: An engine that checks refuses an old fencing number
    Given a fake engine with version "v1"
    When it is ordered to load version "v3" with fencing number 7
    And it is ordered to load version "v2" with fencing number 6
    Then the fake engine answered its orders with "200,409" and runs version "v3"
