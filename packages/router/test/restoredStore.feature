@router @restored
Feature: What a restored store lacks or still has is not taken as new
  A store that comes back from an older copy lacks what was written since, until its writers have
  written it again, and still has what was deleted since.

  Background:
    Given a router that has read the targets "a", "b" and "c", of which "b" drains and "c" has left

  # Guards against a directory without live targets, since the copy is older than their entries.
  Scenario: Targets that the copy lacks are kept until they are written again
    When the store is restored with the targets ""
    Then the usable targets of the router are "a"
    When 2000 ms pass and the target "a" is written again
    And 1000 ms pass for the router
    Then the usable targets of the router are "a"

  # Guards against calls to targets that have crashed during the drill.
  Scenario: Targets that are not written again are dropped
    When the store is restored with the targets ""
    And 2300 ms pass for the router
    Then the usable targets of the router are ""

  # Guards against calls to targets that said before the drill that they leave.
  Scenario: Targets that drained or left stay so, though the copy has them as ready
    When the store is restored with the targets "a, b, c"
    Then the usable targets of the router are "a"
    When 2300 ms pass for the router
    Then the usable targets of the router are "a"

  # Guards against a target that is never used again, since it left before the drill.
  Scenario: Targets that left and are back are used
    When the store is restored with the targets "a, b, c"
    And 500 ms pass and the target "c" is written again
    Then the usable targets of the router are "a, c"

  # Guards against a target that stays out for good, since its entry was written before the read.
  Scenario: Targets whose entries don't expire are used
    When the store is restored with the targets "a, c"
    And 5000 ms pass for the router
    Then the usable targets of the router are "a, c"

  # Guards against an entry of a new process that is taken for that of the one before.
  Scenario: A target that has restarted under its id is used at once
    When the store is restored with the targets "a, c" of new processes
    Then the usable targets of the router are "a, c"

  # Guards against calls to a target that said that it leaves, since the copy was read twice.
  Scenario: Targets that drained or left stay so, though the copy is read again
    When the store is restored with the targets "a, b, c"
    And 2500 ms pass for the router
    And the targets "a, b, c" are read again, since the history was lost
    Then the usable targets of the router are "a"
    When 2100 ms pass for the router
    Then the usable targets of the router are "a, b, c"

  # Guards against calls to the process before, since the copy is older than the restart of a target.
  Scenario: A target that has restarted before the drill is not replaced by its former process
    Given the target "a" has restarted
    When the store is restored with the targets "a"
    Then the process of target "a" is the new one

  # Guards against calls to a zone that was taken out in the seconds that the store lost.
  Scenario: An evacuation that the copy lacks holds until the operator had time to write it again
    Given the operator has taken the zone "zone" out
    When the operator's entries are restored without it
    Then the usable targets of the router are ""
    When 2000 ms pass and the operator writes it again
    And 1000 ms pass for the router
    Then the usable targets of the router are ""
    When the operator takes the zone in again
    Then the usable targets of the router are "a"

  # Guards against a zone that stays out for good, though its evacuation isn't written again.
  Scenario: An evacuation that is not written again ends
    Given the operator has taken the zone "zone" out
    When the operator's entries are restored without it
    And 2300 ms pass for the router
    Then the usable targets of the router are "a"

  # Guards against an older configuration that a router goes back to, or takes as proof of being up to date.
  Scenario: An acknowledged configuration that comes back older is held back, and proves nothing
    Given the router has the configuration 13
    When it reads the configuration 10 from the restored store
    Then it still has the configuration 13, and the store is behind
    When it reads the configuration 13 from the restored store
    Then it still has the configuration 13, and the store is not behind
