@store
Feature: Run records after a restore of the store
  A store that comes back from an older copy has lost records that it had acknowledged.

  # Guards against a second run, on the gate that ran it, of a call whose record a restore has lost.
  Scenario Outline: A gate that knows a run does not run it again after a restore
    Given the gates "A" and "B" with run records
    And the store of the run records is copied
    When gate "A" claims the run "k" for the body "b"
    And gate "A" <ends> the run "k"
    And the store of the run records is restored
    And gate "A" claims the run "k" for the body "b"
    Then the claim result is "<result>"
    When gate "A" claims the run "other" for the body "b"
    And 2000 ms pass at the run records
    And gate "B" claims the run "k" for the body "b"
    Then the claim result is "<result>"

    Examples:
      | ends      | result        |
      | completes | answered done |
      | abandons  | may-have-run  |

  # Guards against the result of a run that goes on during a restore and whose claim is lost.
  Scenario: A run that goes on during a restore keeps its record
    Given the gates "A" and "B" with run records
    And the store of the run records is copied
    When gate "A" claims the run "k" for the body "b"
    And the store of the run records is restored
    And gate "A" claims the run "other" for the body "b"
    And 2000 ms pass at the run records
    And gate "B" claims the run "k" for the body "b"
    Then the claim result is "may-have-run"
    When gate "A" completes the run "k"
    And 2000 ms pass at the run records
    And gate "B" claims the run "k" for the body "b"
    Then the claim result is "answered done"

  # Guards against records that expire with a lease whose id a restored store has given to another client.
  Scenario: A record written after a restore does not hang on the lease of another client
    Given the gates "A" and "B" with run records
    And the store of the run records is copied
    When gate "A" claims the run "first" for the body "b"
    And the store of the run records is restored
    And another client is granted a lease of 3000 ms by the store
    And gate "A" claims the run "k" for the body "b"
    And 5000 ms pass at the run records
    And gate "B" claims the run "k" for the body "b"
    Then the claim result is "may-have-run"

  Scenario: A run is remembered through several restores
    Given the gates "A" and "B" with run records
    And the store of the run records is copied
    When gate "A" claims the run "k" for the body "b"
    And gate "A" completes the run "k"
    And the store of the run records is restored
    And gate "A" claims the run "second" for the body "b"
    And 2000 ms pass at the run records
    And the store of the run records is restored
    And gate "A" claims the run "third" for the body "b"
    And 2000 ms pass at the run records
    And gate "B" claims the run "k" for the body "b"
    Then the claim result is "answered done"
