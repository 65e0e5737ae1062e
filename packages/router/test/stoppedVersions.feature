@router @stoppedVersions
Feature: A version that was found bad gets no calls from later orders

  Background:
    Given a rollout of "shop" from "v1" to "v2" within 15 s, with 3 targets of each version

  # Guards against a bad version that counts as an older one, and gets an equal share, once the next one is ordered.
  Scenario: A version that was rolled back gets nothing when the next one is ordered
    When 2600 calls come in 13 s, and runs take 100 ms on "v1" and 400 ms on "v2"
    Then the owner wants the rollout to be "rolled-back"
    When "v3" is ordered
    Then calls go to "v1, v3"
    And stage workers get pieces on "v1"
    When "v4" is ordered
    Then calls go to "v1, v4"

  Scenario: A version whose order is replaced before it is proved gets nothing
    When 20 calls come in 1 s, and runs take 100 ms on "v1" and 100 ms on "v2"
    And "v3" is ordered
    Then calls go to "v1, v3"
    And stage workers get pieces on "v1"

  Scenario: A version that was stopped gets its share once an order names it, and is an older one once it is proved
    When "v3" is ordered
    And "v2" is ordered
    Then calls go to "v1, v2"
    When the order has ended as "completed"
    Then calls go to "v2"
    When "v4" is ordered
    Then calls go to "v1, v2, v4"

  # Guards against a refusal of nearly all calls when the operator goes back to the version before.
  Scenario: A version that has only stopped ones beside it gets all calls
    When "v1" is ordered
    Then calls only go to "v1"

  # Guards against a later version that is compared with the runs of a bad one.
  Scenario: The runs of a version that was stopped are not those of the old one
    When "v3" is ordered
    And 10 runs fail on "v2" and none on "v1"
    Then the owner gets 10 runs of the old version, none of which failed

  Scenario: The versions of one service stop nothing at another
    When "v3" is ordered
    And "v3" and then "v2" are ordered for "other"
    Then calls go to "v1, v3"
    And calls for "other" go to "v1, v2"

  # Guards against a router that starts late, or was cut off, and believes what the others do not.
  Scenario Outline: A router learns from the store which versions are stopped
    Given a router whose store has the state <state> of "<version>", with "<stopped>" stopped, written <when> the order of "v3"
    Then calls go to "<versions>"

    Examples:
      | state       | version | stopped | when   | versions       |
      | running     | v3      | v2      | after  | v1, v3         |
      | running     | v3      | v2, v4  | after  | v1, v3         |
      | rolled-back | v3      | v2      | after  | v1, v4         |
      | rolled-back | v2      |         | before | v1, v3, v4     |
      | running     | v2      | v4      | before | v1, v3         |
      | completed   | v2      | v4      | before | v1, v2, v3     |

  Scenario: A router that was cut off takes over that a version was ordered anew in the meantime
    When 2600 calls come in 13 s, and runs take 100 ms on "v1" and 400 ms on "v2"
    And "v3" is ordered
    Then calls go to "v1, v3"
    When the store has the order as "running", with nothing stopped
    Then calls go to "v1, v2, v3"

  # Guards against a version in force that is stopped, since the next order is read before its completion.
  Scenario: A completion that is read after the next order allows its version
    When "v3" is ordered
    Then calls go to "v1, v3"
    When the store turns out to have had the order of "v2" as "completed"
    Then calls go to "v1, v2, v3"

  Scenario: The owner writes what is stopped with each state
    When "v3" is ordered
    Then the owner writes "v2" as stopped
    And it writes again while the store lacks it

  # Guards against a bad version that is rolled out again by an order in the copy of a restored store.
  Scenario: An older order in the copy of a restored store waits until the newer one can be written again
    When "v3" is ordered
    And the store is restored to a copy with the order of "v2", and read
    Then calls go to "v1, v3"
    When the router's clock advances by 2100 ms
    Then calls go to "v1, v3"
    When the operator writes the order of "v3" again
    And the router's clock advances by 10000 ms
    Then calls go to "v1, v3"

  Scenario: An older order in the copy of a restored store is taken if it is not replaced
    When "v3" is ordered
    And the store is restored to a copy with the order of "v2", and read
    And the router's clock advances by 2300 ms
    Then calls go to "v1, v2"
