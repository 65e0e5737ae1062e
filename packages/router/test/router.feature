@router
Feature: A router takes a call to a target and back

  Background:
    Given a router with a route for each kind of call and the targets "a" and "b"

  Scenario: A call is answered by a target
    When a "safe" call is made
    Then the caller gets 200 from the target
    And the targets got 1 send

  Scenario: An at-most-once call that may have run is not sent again
    Given the targets break off each call
    When an "order" call is made
    Then the caller gets 502
    And the targets got 1 send

  Scenario: An idempotent call that may have run is sent to another target
    Given the targets break off the first call
    When a "safe" call is made
    Then the caller gets 200 from the target
    And the targets got 2 sends to different targets

  Scenario: No more targets run a call than its route allows
    Given the targets break off each call
    When a "safe" call is made
    Then the caller gets 502
    And the targets got 2 sends to different targets

  Scenario Outline: A call that provably did not run is sent again
    Given the targets answer the first call with "<reply>"
    When an "order" call is made
    Then the caller gets 200 from the target
    And the targets got 2 sends to different targets

    Examples:
      | reply   |
      | refused |
      | moved   |
      | unsent  |

  Scenario: A refusal promises not-run only if nothing can have run
    Given the targets answer each call with "refused"
    When an "order" call is made
    Then the caller gets 503 with a time to come back

  Scenario: An answer that belongs to another call is never passed on
    Given the targets answer each call with "foreign"
    When an "order" call is made
    Then the caller gets 502
    And the targets got 1 send

  Scenario: A success without proof of origin is not passed on
    Given the targets answer each call without proof of origin
    When an "order" call is made
    Then the caller gets 502

  Scenario: A failure that the target gave is passed on as it is
    Given the targets answer each call with status 500
    When an "order" call is made
    Then the caller gets 500 from the target

  Scenario: A body that breaks off is not passed on
    Given the targets break off each body
    When an "order" call is made
    Then the caller gets 502

  Scenario: A resumable stream goes on at another target where it broke off
    Given the targets break off the first stream after event 2
    When a "resumable" call is made
    Then the caller gets the events 1 to 4 once each and a whole answer
    And the second send resumes after event 2

  Scenario: A stream that may not be repeated is cut where it broke off
    Given the targets break off the first stream after event 2
    When a "stream" call is made
    Then the caller gets the events 1 to 2 and a cut answer
    And the targets got 1 send

  Scenario: Half an event is not passed on
    Given the targets break off the first stream within event 3
    When a "stream" call is made
    Then the caller gets the events 1 to 2 and a cut answer

  Scenario: The final answer comes at the route's time
    Given the targets never answer
    When an "order" call is made
    Then after 860 ms the caller gets 504
    And the target has been told to stop

  Scenario: A caller that leaves ends an idempotent call
    Given the targets never answer
    When a "safe" call is made
    And the caller leaves
    Then the target has been told to stop

  Scenario: A caller that leaves does not end an at-most-once call
    Given the targets never answer
    When an "order" call is made
    And the caller leaves
    Then the target has not been told to stop

  Scenario: Keys are not honoured on old evidence
    Given the newest proof of the configuration is 5001 ms old
    When an "order" call is made
    Then the caller gets 503 with a time to come back
    And the targets got 0 sends

  Scenario: An unknown key is refused for good only on fresh evidence
    When a call with an unknown key is made
    Then the caller gets 401
    Given the newest proof of the configuration is 3000 ms old
    When a call with an unknown key is made
    Then the caller gets 503 with a time to come back

  Scenario: An unknown route is refused for good only on fresh evidence
    When a call to an unknown route is made
    Then the caller gets 404
    Given the newest proof of the configuration is 3000 ms old
    When a call to an unknown route is made
    Then the caller gets 503 with a time to come back

  Scenario: A configuration never goes back
    When configuration version 5 without routes is offered after version 7
    Then version 7 is in force

  Scenario: Repeats stop when the budget is spent
    Given a budget of 3 repeats
    And the targets answer each call with "refused"
    When 10 "order" calls are made
    Then the targets got at most 13 sends

  Scenario: Stages run in order, and their results go with the call
    When a "staged" call with 2 and 3 pieces is made
    Then the caller gets 200 from the target
    And the second stage's pieces got the 2 results of the first
    And the target got the 3 results of the second stage
    And every result is freed once

  Scenario: A stage that fails is a refusal that says not-run
    Given the stage workers fail
    When a "staged" call with 2 and 3 pieces is made
    Then the caller gets 503 with a time to come back
    And the targets got 0 sends

  Scenario: A caller whose stages are busy comes back within the time it waits
    Given the stage workers are busy
    When a "staged" call with 2 and 3 pieces is made
    Then the caller gets 503 and should come back after 240 ms
    And the targets got 0 sends

  Scenario: Results that are gone are made once more
    Given the targets answer the first call with "inputs-gone"
    When a "staged" call with 1 and 1 pieces is made
    Then the caller gets 200 from the target
    And every result is freed once

  Scenario: The path is matched by the longest prefix
    Then the path "/order/deep/x" goes to the route "deep"
    And the path "/order/x" goes to the route "order"
    And the path "/orders" goes to no route
