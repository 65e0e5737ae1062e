@mirror
Feature: A mirror of a prefix knows how old its proof is

  Background:
    Given a mirror of a store that holds "a" and "b"

  Scenario: The proof dates from when the read was sent
    When the store takes 300 ms for each answer
    And 310 ms pass for the mirror
    Then the mirror holds "a, b"
    And its evidence is at least 300 ms old

  Scenario: An answer without changes is a proof
    When 1300 ms pass for the mirror
    Then its evidence is at most 1300 ms old

  Scenario: Changes are taken as they come
    When 100 ms pass for the mirror
    And the store gets "c" and loses "a"
    And 10 ms pass for the mirror
    Then the mirror holds "b, c"

  Scenario: The proof ages while the store is down, and is made anew
    When 100 ms pass for the mirror
    And the store is down for 4000 ms
    Then its evidence is at least 4000 ms old
    And the loss was told once
    When 1000 ms pass for the mirror
    Then its evidence is at most 1000 ms old
    And the return was told once

  Scenario: A store that hangs is given up
    When 100 ms pass for the mirror
    And the store hangs for 3000 ms
    And 3000 ms pass for the mirror
    Then its evidence is at most 2800 ms old

  Scenario: Lost history is read anew
    When 100 ms pass for the mirror
    And the store loses "a" and drops its history
    And 2000 ms pass for the mirror
    Then the mirror holds "b"

  Scenario: A suspended host counts the time that its wall clock saw
    When 100 ms pass for the mirror
    And the host is suspended for 6000 ms
    Then its evidence is at least 6000 ms old

  Scenario: A step back of the wall clock makes no proof younger
    When 100 ms pass for the mirror
    And the wall clock steps by -60000 ms while the store is down for 3000 ms
    Then its evidence is at least 3000 ms old
