@router
Feature: Whether a call may begin is decided when it arrives

  # Guards against refusals of calls that would be served, and stages that run for calls that can't be.
  Scenario Outline: <rule>
    Given a staged call of priority <priority> that needs 500 ms, and whose caller waits for 4000 ms
    And at its stage service new pieces of priority <of> wait for <wait> ms, the oldest for <oldest> ms
    And timers are <lag> ms late in the mean
    Then it is <decision>

    Examples:
      | rule                                                       | priority | of | wait | oldest | lag | decision                |
      | A call is admitted if nothing waits                        | 1        | 1  | 0    | 0      | 0   | admitted                |
      | A call that has to wait is admitted                        | 1        | 1  | 9000 | 2500   | 0   | admitted                |
      | A short lag is no reason                                   | 2        | 2  | 0    | 0      | 45  | admitted                |
      | The least urgent calls are refused first while timers lag  | 2        | 2  | 0    | 0      | 55  | refused as "event-loop" |
      | More urgent ones are then still admitted                   | 1        | 1  | 0    | 0      | 70  | admitted                |
      | The most urgent ones are refused last                      | 0        | 0  | 0    | 0      | 105 | refused as "event-loop" |

  # Guards against calls that run although their caller has left.
  Scenario: A call whose deadline can't be met is refused at once, without a time to retry
    Given a staged call of priority 1 that needs 500 ms, and whose caller waits for 400 ms
    Then it is refused as "past-deadline"
    And it should not be sent again

  # Guards against callers that come back together, or too late to be served.
  Scenario: The time to retry is spread, and within a third of the time left
    Given a staged call of priority 1 that needs 500 ms, and whose caller waits for 2000 ms
    And timers are 200 ms late in the mean
    Then its time to retry is between 330 and 667 ms, and not always the same

  # Guards against work for calls that fail (held too little), and against calls that could be served but
  # wait for nothing, or are given up (held too much).
  Scenario Outline: <rule>
    Given a staged call of priority 1 that needs 500 ms, and whose caller waits for <left> ms
    And at its stage service new pieces of priority <of> wait for <wait> ms, the oldest for <oldest> ms
    And <begun> of its two stages has begun
    Then its next stage is decided to <decision>

    Examples:
      | rule                                                    | left | of | wait | oldest | begun | decision           |
      | A call starts if nothing waits                          | 4000 | 1  | 0    | 0      | none  | start              |
      | A call that is served in time starts                    | 4000 | 1  | 1400 | 2500   | none  | start              |
      | A call that can't be served with the waits is held      | 4000 | 1  | 1600 | 2500   | none  | hold as "hopeless" |
      | A wait that began lately says little                    | 4000 | 1  | 1600 | 1500   | none  | start              |
      | More urgent work goes first                             | 4000 | 0  | 1600 | 2500   | none  | hold as "hopeless" |
      | Less urgent work doesn't                                | 4000 | 2  | 1600 | 2500   | none  | start              |
      | A call that has begun goes on, since its results expire | 4000 | 1  | 9000 | 2500   | one   | start              |
      | A call that needs all its time is not given up          | 500  | 1  | 0    | 0      | one   | start              |
      | A call that can't be served even without waits ends     | 499  | 1  | 0    | 0      | one   | give-up            |

  # Guards against results that expire before the other stages of their call have their turn, and against holding
  # calls that may still be on time.
  Scenario Outline: <rule>
    Given a staged call of priority 1 that needs 500 ms, and whose caller waits for 9000 ms
    And at another stage service the oldest piece of priority <of> has waited for <oldest> ms
    And the call <lateness>
    Then its next stage is decided to <decision>

    Examples:
      | rule                                                       | of | oldest | lateness          | decision       |
      | A late call is held while others wait for half of the TTL  | 1  | 2100   | is late           | hold as "late" |
      | Its results don't expire if the others have their turn     | 1  | 1900   | is late           | start          |
      | Less urgent work doesn't hold it                           | 2  | 2100   | is late           | start          |
      | A call that may be on time starts                          | 1  | 2100   | may be on time    | start          |
      | A stage with inputs starts, since they expire              | 1  | 2100   | is late and begun | start          |

  # Guards against refusals of calls that need no stage worker.
  Scenario: A call without stages is admitted whatever waits
    Given a call without stages
    And at its stage service new pieces of priority 0 wait for 60000 ms, the oldest for 9000 ms
    And timers are 500 ms late in the mean
    Then it is admitted

  # Guards against new calls that go before one whose results expire meanwhile.
  Scenario: The stages of a call that holds results count as begun
    When a stage without inputs starts after another one has its results
    Then its pieces go before those of new calls
