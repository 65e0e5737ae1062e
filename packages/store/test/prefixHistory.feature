@prefixHistory @scale
Feature: Recent changes of a prefix
  A node that relays the store gives other nodes the changes that they lack.

  # Guards against changes that are left out or repeated when only the newest ones are visited.
  Scenario: The changes after a revision are those that a scan finds
    Then over 300 random histories the changes after each revision equal a scan of all changes
