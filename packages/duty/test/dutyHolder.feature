@duty
Feature: One router at a time holds a duty

  Background:
    Given the routers "a", "b" and "c" share a duty, which "a" holds

  # Guards against a duty that nobody performs after its holder has crashed.
  Scenario: The holder is killed
    When the holder "a" is killed
    And 4000 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken

  # Guards against calls to the store of all candidates at once.
  Scenario: The second candidate leaves the duty to the first one
    When the holder "a" is killed
    And 4000 ms pass for the duty
    Then "c" has written no entry of a duty

  # Guards against a holder that doesn't notice how long it was paused.
  Scenario Outline: The holder is paused until its lease has passed, and woken
    When the holder "a" is <paused>
    And 10000 ms pass for the duty
    And "a" is woken after that
    And 2000 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken

    Examples:
      | paused                          |
      | paused                          |
      | paused with its monotonic clock |

  # Guards against a holder that acts although another router may have taken the duty.
  Scenario: The holder is cut off from the store
    When "a" is cut off from the store
    And 2500 ms pass for the duty
    Then no router holds the duty
    When 2000 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken

  # Guards against a duty that changes hands, or a token that is used twice, for a short interruption.
  Scenario: The holder is cut off for less than its lease
    When "a" is cut off from the store
    And 1500 ms pass for the duty
    And "a" reaches the store again
    And 3000 ms pass for the duty
    Then "a" still holds the duty with its first token

  # Guards against a duty that nobody holds while the first candidate fails to take it.
  Scenario: The writes of the first candidate fail when the holder is killed
    Given the writes of "b" are executed late
    When the holder "a" is killed
    And 4000 ms pass for the duty
    Then "c" holds the duty with a higher token, and no rule of duties is broken

  # Guards against a router that takes the duty from a live holder, since it knows old members.
  Scenario: The holder is back before another router has noticed
    Given changes are received 600 ms late by "b"
    When the holder "a" is killed
    And 2700 ms pass for the duty
    And "a" starts again
    And 2000 ms pass for the duty
    Then "a" holds the duty with a higher token, and no rule of duties is broken

  Scenario: The first candidate is cut off when the holder is killed
    When "b" is cut off from the store
    And the holder "a" is killed
    And 5000 ms pass for the duty
    Then "c" holds the duty with a higher token, and no rule of duties is broken

  # Guards against a holder that goes on although it has lost the duty without noticing.
  Scenario: Two routers believe that they hold the duty
    When the store ends the lease of "a" too early
    And 1500 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken

  Scenario: A call of the holder is rejected in favour of a higher token
    When a call of "a" is rejected
    Then no router holds the duty
    When 1000 ms pass for the duty
    Then "a" holds the duty with a higher token, and no rule of duties is broken

  # Guards against repeated rejections while the tokens of another router are far ahead.
  Scenario: Calls of the holder are rejected again and again
    When calls of "a" are rejected 12 times
    Then its tokens have grown by more than 2000000

  # Guards against acting on a write that may not have been executed.
  Scenario: The answer to the write that takes the duty is lost
    Given the answers to writes of "b" are lost
    When the holder "a" is killed
    And 4000 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken

  Scenario: The write that takes the duty is executed late
    Given the writes of "b" are executed late
    And "c" is cut off from the store
    When the holder "a" is killed
    And 6500 ms pass for the duty
    Then no router holds the duty
    When 1500 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken

  # Guards against a late write that makes a router the holder although its lease has ended in between.
  Scenario: A router is paused while its write is executed late
    Given the writes of "b" are executed late
    When the holder "a" is killed
    And 3300 ms pass for the duty
    And the holder "b" is paused
    And 10000 ms pass for the duty
    And "b" is woken after that
    And 2000 ms pass for the duty
    Then "c" holds the duty with a higher token, and no rule of duties is broken

  # Guards against a holder that returns under another lease and trusts its old token.
  Scenario: The write of the next holder is executed late, after the holder is back
    Given the writes of "b" are executed late
    And "c" is killed
    When "a" is cut off from the store
    And 4000 ms pass for the duty
    And "a" reaches the store again
    And 1800 ms pass for the duty
    And "a" is cut off from the store
    And 1400 ms pass for the duty
    Then "a" holds the duty with a higher token, and no rule of duties is broken

  # Guards against tokens that fall with the wall clock.
  Scenario Outline: The wall clock of the next holder is wrong
    Given the wall clock of "b" jumps by <jump> ms
    When the holder "a" is killed
    And 4000 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken
    When the holder "b" is killed
    And 4500 ms pass for the duty
    Then "c" holds the duty with a higher token, and no rule of duties is broken

    Examples:
      | jump     |
      | -3600000 |
      | 3600000  |

  Scenario Outline: The wall clock of the holder jumps
    Given the wall clock of "a" jumps by <jump> ms
    And 1000 ms pass for the duty
    Then "a" still holds the duty with its first token

    Examples:
      | jump     |
      | -3600000 |
      | 3600000  |

  # Guards against tokens that fall, and two holders, after a restore.
  Scenario: The store is restored from a copy in which the former holder still holds the duty
    Given a copy of the store
    When "a" is asked to stop and "b" takes the duty
    And "a" starts again
    And 8000 ms pass for the duty
    And the store is restored from the copy
    And 1500 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken

  Scenario: The store is restored from a copy without the duty while its holder is paused
    When the holder "a" is paused
    And the store is restored without the duty
    And 4000 ms pass for the duty
    And "a" is woken after that
    And 2000 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken

  # Guards against a taker that doesn't wait for a holder which hasn't seen the restore.
  Scenario: The store is restored without the duty while its holder is cut off
    When "a" is cut off from the store
    And the store is restored without the duty
    And 2500 ms pass for the duty
    Then no rule of duties is broken
    When 2000 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken

  # Guards against a former holder that takes the copy's word.
  Scenario: The store is restored from an older copy while the present holder is cut off
    Given a copy of the store
    When "a" is cut off from the store
    And 4000 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken
    When "b" is cut off from the store
    And "a" reaches the store again
    And the store is restored from the copy
    And 6000 ms pass for the duty
    Then "a" holds the duty with a higher token, and no rule of duties is broken

  # Guards against a holder that goes on before it has read what the restored store says.
  Scenario: The holder stops acting as soon as it knows of the restore
    When "a" learns that the store was restored
    Then no router holds the duty
    When 500 ms pass for the duty
    Then "a" holds the duty with a higher token, and no rule of duties is broken

  # Guards against seconds without a holder at each planned stop.
  Scenario: The holder is asked to stop
    When "a" is asked to stop
    Then no router holds the duty
    When 150 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken

  # Guards against a pause between the release of a duty and the news that its router leaves.
  Scenario: The holder releases the duty and hasn't yet said that it leaves
    When "a" releases its duties
    And 100 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken

  Scenario: The holder is asked to stop while the store is away
    When "a" is cut off from the store
    And "a" is asked to stop
    And 4500 ms pass for the duty
    Then "b" holds the duty with a higher token, and no rule of duties is broken

  # Guards against a token that two processes use.
  Scenario: The holder starts again under its name
    When "a" starts again
    And 300 ms pass for the duty
    Then "a" holds the duty with a higher token, and no rule of duties is broken

  # Guards against acts of "a", "b" and "a" again within the lease.
  Scenario Outline: A router that has lost the duty takes it again only after twice the lease
    Given "c" is killed
    When "a" is asked to stop and "b" takes the duty
    And "a" starts again
    And <wait> ms pass for the duty
    And the holder "b" is asked to stop
    And <until> ms pass for the duty
    Then no router holds the duty
    When 1500 ms pass for the duty
    Then "a" holds the duty with a higher token, and no rule of duties is broken

    Examples:
      | wait | until |
      | 500  | 4500  |
      | 2000 | 3000  |

  Scenario: A token is renewed while the duty is held
    When "a" renews its token
    Then the renewal succeeds
    And "a" holds the duty with a higher token, and no rule of duties is broken

  Scenario: A token is renewed while another router takes the duty
    When the store ends the lease of "a" too early
    And 300 ms pass for the duty
    And "a" renews its token
    Then the renewal fails

  # Guards against store calls of routers that have nothing to do with the duty.
  Scenario: A router that holds nothing makes few calls to the store
    When 10000 ms pass for the duty
    Then "c" has made at most 6 calls besides the renewals of its lease

  Scenario: Each change of the holder is reported with its token
    When "a" is cut off from the store
    And 5000 ms pass for the duty
    And "a" reaches the store again
    And 1000 ms pass for the duty
    Then "a" has reported "taken a, in-doubt a, lost a, taken b"
    And "c" has reported "taken a, taken b"

  Scenario: The candidates are the holder and then the others
    When "a" is asked to stop and "b" takes the duty
    And "a" starts again
    And 1000 ms pass for the duty
    Then the candidates of "c" are "b, a, c"

  Scenario: An entry that can't be decoded is replaced
    When another program writes the entry of the duty
    And 1000 ms pass for the duty
    Then "a" holds the duty with a higher token, and no rule of duties is broken

  # Guards against a late write of an earlier lease that is mistaken for one of the present lease.
  Scenario Outline: The token of an unanswered write is sent again only under the same lease
    Given a write of the token 500 under the lease 1 at the revision 7, without an answer
    When a token is created under the lease <lease> at the revision <revision>
    Then it is <token>

    Examples:
      | lease | revision | token |
      | 1     | 7        | 500   |
      | 2     | 7        | 501   |
      | 1     | 8        | 501   |
