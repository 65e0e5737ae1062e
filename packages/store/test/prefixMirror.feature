@mirror
Feature: A prefix mirror tracks the age of its evidence

  Background:
    Given a mirror of a store that contains "a" and "b"

  Scenario: The evidence dates from when the read was sent
    When the store takes 300 ms for each response
    And 310 ms pass for the mirror
    Then the mirror contains "a, b"
    And its evidence is at least 300 ms old

  Scenario: A response without changes is evidence
    When 1300 ms pass for the mirror
    Then its evidence is at most 1300 ms old

  Scenario: Changes are applied when they are received
    When 100 ms pass for the mirror
    And "c" is added to the store and "a" is deleted
    And 10 ms pass for the mirror
    Then the mirror contains "b, c"

  Scenario: The evidence ages during an outage and is renewed afterwards
    When 100 ms pass for the mirror
    And the store is down for 4000 ms
    Then its evidence is at least 4000 ms old
    And the loss was reported once
    When 1000 ms pass for the mirror
    Then its evidence is at most 1000 ms old
    And the recovery was reported once
    And it said that the evidence was 4000 to 5700 ms old

  # Guards against a cut watch that is taken for an outage in which entries expired.
  Scenario: The end of a short outage says how short it was
    When 1100 ms pass for the mirror
    And the store is down for 100 ms
    And 1000 ms pass for the mirror
    Then the recovery was reported once
    And it said that the evidence was 100 to 1800 ms old

  Scenario: A read from a store that hangs times out
    When 100 ms pass for the mirror
    And the store hangs for 3000 ms
    And 3000 ms pass for the mirror
    Then its evidence is at most 2800 ms old

  Scenario: After lost history all entries are read again
    When 100 ms pass for the mirror
    And "a" is deleted from the store and the history is dropped
    And 2000 ms pass for the mirror
    Then the mirror contains "b"

  # Guards against readers that drop entries as deleted, since they learn of the outage too late.
  Scenario Outline: Readers learn that the store is back before they get what it lacks
    When 100 ms pass for the mirror
    And the store is down for 1000 ms, and meanwhile "a" expires and the history is <history>
    And 2000 ms pass for the mirror
    Then the mirror contains "b"
    And the recovery was reported before "a" was missing

    Examples:
      | history |
      | kept    |
      | dropped |

  Scenario: On a suspended host the evidence ages by the wall clock
    When 100 ms pass for the mirror
    And the host is suspended for 6000 ms
    Then its evidence is at least 6000 ms old

  Scenario: A backward step of the wall clock does not make the evidence younger
    When 100 ms pass for the mirror
    And the wall clock steps by -60000 ms while the store is down for 3000 ms
    Then its evidence is at least 3000 ms old

  # Guards against changes that are missed, since a restored store gave their revisions out again.
  Scenario: Revisions that are given out again are read, though no history was lost
    When 100 ms pass for the mirror
    And "c" is added to the store and "a" is deleted
    And 10 ms pass for the mirror
    And the store is down for 1000 ms and comes back from its first copy
    And "d, e, f" are added to the restored store
    And 1000 ms pass for the mirror
    Then the mirror contains "a, b, d, e, f"

  # Guards against a read that was waiting across the drill, and whose response lacks changes.
  Scenario: The response to a read that was sent before the drill is not applied
    When 100 ms pass for the mirror
    And "c" is added to the store and "a" is deleted
    And 10 ms pass for the mirror
    And the store comes back from its first copy while reads wait
    And "d, e, f" are added to the restored store
    And 10 ms pass for the mirror
    Then the mirror contains "a, b, d, e, f"
    And the restored store was reported 1 time

  # Guards against a mirror that goes on waiting though another reader has seen that the store was restored.
  Scenario: A rise of the era that another reader sees is acted on at once
    When 100 ms pass for the mirror
    And "c" is added to the store and "a" is deleted
    And 10 ms pass for the mirror
    And the store comes back from its first copy while reads wait
    And another reader sees its era
    And 10 ms pass for the mirror
    Then the mirror contains "a, b"

  # Guards against a second drill during the reads after the first.
  Scenario: Several drills in a row
    When 100 ms pass for the mirror
    And the store takes 100 ms for each response
    And the store comes back from its first copy while reads wait
    And "d, e, f" are added to the restored store
    And 50 ms pass for the mirror
    And the store comes back from its first copy while reads wait
    And "g, h, i" are added to the restored store
    And 2000 ms pass for the mirror
    Then the mirror contains "a, b, g, h, i"

  # Guards against reads that are repeated for a store that states a lower era, or none.
  Scenario: A lower or missing era is no rise
    When 100 ms pass for the mirror
    And responses state the era 0, then none, then 1 again
    And 10 ms pass for the mirror
    Then the restored store was reported 0 times

  # Guards against keys and routes that are judged by a restored store that lacks what the router knows.
  Scenario: Responses from a copy that is older than what the reader knows are no evidence
    When 100 ms pass for the mirror
    And the reader knows something newer than the store has
    And 3000 ms pass for the mirror
    Then its evidence is at least 3000 ms old
    When the store has it again
    And 1500 ms pass for the mirror
    Then its evidence is at most 2000 ms old
