@router
Feature: Traffic moves to another version only once that is proved good

  Background:
    Given a rollout of "shop" from "v1" to "v2" within 15 s, with 3 targets of each version

  # Guards against a version that answers several times slower, gets half of the traffic and is kept.
  Scenario: A version that is several times slower is rolled back
    When 2600 calls come in 13 s, and runs take 100 ms on "v1" and 400 ms on "v2"
    Then the rollout was rolled back within 3 s
    And "v2" got at most 60 calls

  # Guards against a version that is slow on one route only, and gets calls until its rollout has to end.
  Scenario: A version that is slower on one route only is rolled back
    Given a rollout of "shop" from "v1" to "v2" within 40 s, with 3 targets of each version
    When 7600 calls come in 38 s, and on one of 3 routes runs take 300 ms on "v2", all others 100 ms
    Then "v2" got no call later than 5 s after its 50th slow run

  # Guards against a version that fails on one route only, which other routes' good runs hide.
  Scenario: A version that fails on one route only is rolled back
    When 2600 calls come in 13 s, and on one of 5 routes 30 of 100 runs fail on "v2" and 0 on "v1"
    Then the rollout was rolled back within 8 s

  # Guards against a good version that is rolled back, because few runs of a flaky route say little.
  Scenario: A good version of a service with a route that often fails is completed
    When 40 rollouts get 2600 calls in 13 s each, and 14 of 100 runs fail on one of 5 routes
    Then at most 3 of them were rolled back

  Scenario: A version that fails often is rolled back
    When 2600 calls come in 13 s, and 2 of 10 runs fail on "v2"
    Then the rollout was rolled back within 3 s

  # Guards against a version that is rolled out although its streams start several times later.
  Scenario Outline: A version whose streams start several times later is rolled back
    When 1300 calls come in 13 s, and streams start after <old> ms on "v1" and <new> ms on "v2"
    Then the rollout was rolled back within 4 s

    Examples:
      | old  | new  |
      | 1000 | 5000 |
      | 1000 | 3000 |
      | 150  | 750  |

  # Guards against a version that is rolled out because it got too few calls to be called bad.
  Scenario: A version that got few calls and starts its streams later is not completed
    When 160 calls come in 14 s, and streams start after 300 ms on "v1" and 900 ms on "v2"
    Then the owner wants the rollout to be "rolled-back"

  # Guards against a good version that is rolled back because its targets have cached no prompts yet.
  Scenario: Later starts that come from empty caches are no fault of a version
    When 1300 calls come in 13 s, and streams start after 100 ms on "v1" and 380 ms on "v2" with 300 ms allowed
    And 200 calls come in 2 s, and streams start after 100 ms on "v1" and 100 ms on "v2" with 300 ms allowed
    Then the owner wants the rollout to be "completed"

  # Guards against a good version that is rolled back because a link held up one response.
  Scenario: One late start is no fault of a version
    When 130 calls come in 13 s, and streams start after 200 ms, but once after 4000 ms on "v2"
    Then the rollout still runs

  # Guards against a version that is rolled out although its callers leave before they have got anything.
  Scenario: A version that loses its callers before its responses start is rolled back
    When 1300 calls come in 13 s, and callers leave without a response in 5 of 10 runs on "v2" and 0 on "v1"
    Then the rollout was rolled back within 4 s

  # Guards against a good version that is rolled back because callers leave, whichever version has their calls.
  Scenario: A version that loses as many callers as the old one is completed
    When 1500 calls come in 15 s, and callers leave without a response in 4 of 10 runs on "v2" and 4 on "v1"
    Then the owner wants the rollout to be "completed"

  Scenario: A good version gets its share until it is proved, then everything
    When 2600 calls come in 13 s, and runs take 100 ms on "v1" and 120 ms on "v2"
    Then the rollout still runs
    And "v2" got between 180 and 280 calls
    When 400 calls come in 2 s, and runs take 100 ms on "v1" and 120 ms on "v2"
    Then the owner wants the rollout to be "completed"
    When the store has it as "completed"
    Then calls only go to "v2"

  # Guards against a service that refuses its calls though all its targets are sound, as an order names the only version
  # that runs.
  Scenario Outline: An order for the version that already runs alone takes no target from its calls
    Given all targets of "shop" run "v2"
    When 200 calls come in <s> s to sound targets
    Then each of them had a target

    Examples:
      | s  |
      | 5  |
      | 30 |

  Scenario: Stage workers of a version get pieces once it is proved
    Then stage workers of "v2" get no pieces, and those of "v1" do
    When the store has it as "completed"
    Then stage workers of "v2" get pieces

  Scenario: A version that is not proved in time is rolled back
    When 20 calls come in 15 s, and runs take 100 ms on "v1" and 100 ms on "v2"
    Then the owner wants the rollout to be "rolled-back"
    And calls only go to "v1"

  # Guards against an owner that is cut off, rolls a good version back by its own few calls, and tells all others.
  Scenario: An owner that is cut off from the store does not decide by the time
    Given the router is cut off from the store
    When 20 calls come in 16 s, and runs take 100 ms on "v1" and 100 ms on "v2"
    Then the rollout still runs
    When the router reaches the store again
    And 20 calls come in 1 s, and runs take 100 ms on "v1" and 100 ms on "v2"
    Then the owner wants the rollout to be "rolled-back"

  Scenario: An owner that is cut off from the store rolls a bad version back
    Given the router is cut off from the store
    When 2600 calls come in 13 s, and runs take 100 ms on "v1" and 400 ms on "v2"
    Then the owner wants the rollout to be "rolled-back"

  Scenario: A rollout that was rolled back does not start again with the same order
    When 2600 calls come in 13 s, and runs take 100 ms on "v1" and 400 ms on "v2"
    And the same rollout is ordered again
    Then calls only go to "v1"

  # Guards against an order that is ignored for good, since an earlier one for its version was rolled back.
  Scenario: A version that was rolled back can be ordered once more
    When 2600 calls come in 13 s, and runs take 100 ms on "v1" and 400 ms on "v2"
    And the store has it as "rolled-back"
    And the same version is ordered once more
    Then calls go to "v1" and "v2"
    When 2600 calls come in 14 s, and runs take 100 ms on "v1" and 110 ms on "v2"
    Then the owner wants the rollout to be "completed"

  Scenario: A router that starts late learns the state from the store
    Given a router that reads from the store that the rollout was rolled back
    Then calls only go to "v1"

  # Guards against a rollout that ends with the decision on another one, whose order a restored store lost.
  Scenario: A decision on another version with the same revision ends nothing
    When a peer shares that "v9" was rolled back, with the revision of the order
    Then calls go to "v1" and "v2"

  # Guards against an owner that restarts and rolls a good version back, since it has no deadline yet.
  Scenario: A running state that is read before its order sets no deadline
    Given a router that reads from the store that the rollout is running, and then its order
    When 200 calls come in 1 s, and runs take 100 ms on "v1" and 100 ms on "v2"
    Then the rollout still runs

  Scenario: A version that was rolled back gets nothing after its order has been deleted
    Given a router that reads from the store that the rollout was rolled back, and no order
    Then calls only go to "v1"

  # Guards against a bad version that gets calls again, since its order was written again after a drill.
  Scenario: An order that is written again to a restored store is not a new one
    When 2600 calls come in 13 s, and runs take 100 ms on "v1" and 400 ms on "v2"
    And the store has it as "rolled-back"
    And the store is restored and the same version is ordered once more
    Then calls only go to "v1"

  # Guards against an order that is ignored, since a restored store gave it the revision of an earlier one.
  Scenario: Another order at the revision of an earlier one is a new one
    When the store is restored and "v1" is ordered at the same revision
    Then the rollout is one to "v1"

  # Guards against a rollout that ends at once, by a state of which a restored store gave the revision out again.
  Scenario: States read before the store was restored bind no later order
    When 2600 calls come in 13 s, and runs take 100 ms on "v1" and 400 ms on "v2"
    And the store has it as "rolled-back"
    And the store is restored, and 6 s later the same version is ordered at a lower revision
    Then calls go to "v1" and "v2"
