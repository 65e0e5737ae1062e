@engine
Feature: Requests that crash the targets that run them
  A request content is stopped after it crashed two distinct targets, whichever entries it came
  through.

  Scenario: Two crashes of the same target only make the content a suspect
    Given a crash registry of gate "a" and one of gate "b"
    When content "poison" crashes target "t1" at gate "a"
    And content "poison" crashes target "t1" at gate "a"
    Then content "poison" is "suspect" at gate "a" and "clear" at gate "b"

  Scenario: Crashes seen by two gates stop the content once the gates exchange their records
    Given a crash registry of gate "a" and one of gate "b"
    When content "poison" crashes target "t1" at gate "a"
    And content "poison" crashes target "t2" at gate "b"
    And the crash registries of both gates exchange their records
    Then content "poison" is "stopped" at gate "a" and "stopped" at gate "b"

  Scenario: Old crashes expire
    Given a crash registry of gate "a" and one of gate "b"
    When content "poison" crashes target "t1" at gate "a"
    And content "poison" crashes target "t2" at gate "a"
    And 2000 ms pass for the crash registries
    Then content "poison" is "clear" at gate "a" and "clear" at gate "b"

  Scenario: Merging is commutative, associative and idempotent, also when registries are full
    Then merging 500 random sets of crash records gives the same result in any order and grouping

  Scenario: A content has the same fingerprint on each attempt, and different contents have different ones
    Then a resumed attempt of the prompt "plan" has the fingerprint of its first attempt
    And the texts "ab", "c" and the texts "a", "bc" have different fingerprints
