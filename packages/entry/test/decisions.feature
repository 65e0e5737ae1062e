@entry
Feature: Decisions of an entry

  Scenario Outline: Retries happen only where a second run is harmless
    When an attempt at <stage> ended with <code> and outcome "<outcome>"
    Then the entry decides to <decision>

    Examples:
      | stage            | code | outcome      | decision |
      | an idempotent    | 3001 | may-have-run | retry    |
      | an at-most-once  | 3001 | may-have-run | give-up  |
      | an at-most-once  | 2004 | not-run      | retry    |
      | an at-most-once  | 7005 | may-have-run | retry    |
      | an idempotent    | 3004 | not-run      | give-up  |
      | an at-most-once  | 4004 | may-have-run | give-up  |

  Scenario: Retries stay a share of the first attempts
    When a retry budget sees 1000 first attempts that all fail and want a retry
    Then the budget allowed at least 100 and at most 120 retries

  Scenario: A target is never used twice for one stage, nor in a zone that is out
    Then over random fleets the chosen target is ready or cold, unused and in a zone that is in

  Scenario: Work goes to the target with the shortest expected wait
    When the entry chooses between a full target at home and an idle one in another zone
    Then it chooses the idle one

  Scenario: Links are spread by rendezvous hashing and few of them move
    Then over random fleets each group keeps its links, and a lost gate moves no other link
