@membersRestored
Feature: Members register again when the store has lost their leases

  Background:
    Given a store with the members "n1", "n2" and "n3", watched by "n1"

  # Guards against a node that is not registered, since the store gave the id of its lease out again.
  Scenario: A lease whose id was given out again is not taken for one's own
    When the store comes back from a copy without "n1", in which all leases have other owners
    And 1000 ms pass for the members
    Then the store has the member "n1"

  # Guards against members that are taken as gone, and whose services move, while they register again.
  Scenario: Members that the copy lacks are kept while they register again
    When the store comes back from a copy without "n2"
    And 100 ms pass for the members
    Then the live members are "n1, n2, n3"
    When 4000 ms pass for the members
    Then the live members are "n1, n3"

  # Guards against work that is sent to a node that had left, since the copy still has it.
  Scenario: Members that had left stay so until they register again
    When "n3" leaves
    And the store comes back from a copy with "n3"
    And 100 ms pass for the members
    Then the live members are "n1, n2"
    When "n3" registers
    And 100 ms pass for the members
    Then the live members are "n1, n2, n3"

  # Guards against a node that ends the lease of another one when it leaves.
  Scenario: A node that leaves ends no lease of an earlier era
    When the store comes back from a copy without "n1", refusing leases
    And 1000 ms pass for the members
    And "n1" leaves by itself
    And 1000 ms pass for the members
    Then no lease was ended
