@router @scale
Feature: Shards and owners follow changes
  Routers correct what they know by what has changed; routers that have seen other changes come to the same result.

  # Guards against routers that disagree on the owner of a shard because they have seen other changes before.
  Scenario: Changes lead to the same shards and owners as a start
    Then over 200 random sequences of changes shards and owners equal those of a router that has just started
