@entry
Feature: Decisions of an entry

  Scenario Outline: Only work that is safe to run again is retried
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

  Scenario: Retries are limited to a fraction of first attempts
    When a retry budget sees 1000 first attempts that all fail and request a retry
    Then the budget allowed at least 100 and at most 120 retries

  # Guards against repeats that pile up, as each start had ten of them at once.
  Scenario: An entry that is restarted again and again has no more retries than one that runs on
    When an entry that is restarted each 2000 ms for 20000 ms requests as many retries as it may
    Then the budget allowed at least 5 and at most 20 retries

  Scenario: A target is never tried twice for one stage, nor used in a zone that is out
    Then for random targets the chosen one is ready or cold, untried and not in a zone that is out

  Scenario: Work goes to the target with the shortest expected wait
    When the entry chooses between a full target in its own zone and an idle one in another zone
    Then it chooses the idle target

  Scenario: Rendezvous hashing spreads the links and moves few of them
    Then for random gates each group keeps its links, and a lost gate moves no other link

  Scenario: Work goes to a target that asked for a pause only if there is no other
    When the entry chooses between an idle target that is paused for 500 ms and a full one
    Then it chooses the full target
    And of two paused targets it chooses the one that returns first

  # Guards against a 404 for a route that the operators have configured.
  Scenario: A call of a route with a stage that does not exist is refused for a while
    When a call of a route with an unknown stage is made
    Then it is refused as not run, with the code 5003 and a time to retry
