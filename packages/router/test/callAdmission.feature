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
      | A call that is served in time is admitted                  | 1        | 1  | 3400 | 2500   | 0   | admitted                |
      | A call that can't be served in time is refused             | 1        | 1  | 3600 | 2500   | 0   | refused as "hopeless"   |
      | A wait that began lately says little                       | 1        | 1  | 3600 | 1500   | 0   | admitted                |
      | More urgent work goes first                                | 1        | 0  | 3600 | 2500   | 0   | refused as "hopeless"   |
      | Less urgent work doesn't                                   | 1        | 2  | 3600 | 2500   | 0   | admitted                |
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
    Given a staged call of priority 1 that needs 500 ms, and whose caller waits for 4000 ms
    And at its stage service new pieces of priority 1 wait for 9000 ms, the oldest for 2500 ms
    Then its time to retry is between 600 and 1334 ms, and not always the same

  # Guards against the same of callers that are refused because the router lacks time.
  Scenario: The time to retry is spread too while timers lag
    Given a staged call of priority 1 that needs 500 ms, and whose caller waits for 2000 ms
    And timers are 200 ms late in the mean
    Then its time to retry is between 330 and 667 ms, and not always the same

  # Guards against stages that run for calls which can't be served any more, and against ending or holding calls
  # that could be served once the waits fall.
  Scenario Outline: <rule>
    Given a staged call of priority 1 that needs 500 ms, and whose caller waits for <left> ms
    And at its stage service new pieces of priority <of> wait for <wait> ms, the oldest for <oldest> ms
    And <begun> of its two stages has begun
    Then its next stage is decided to <decision>

    Examples:
      | rule                                                    | left | of | wait | oldest | begun | decision |
      | A call starts if nothing waits                          | 4000 | 1  | 0    | 0      | none  | start    |
      | A call that is served in time starts                    | 4000 | 1  | 1400 | 2500   | none  | start    |
      | A call that became hopeless after its arrival starts    | 4000 | 1  | 9000 | 2500   | none  | start    |
      | A wait that began lately doesn't hold it                | 4000 | 1  | 1600 | 1500   | none  | start    |
      | Less urgent work doesn't hold it                        | 4000 | 2  | 1600 | 2500   | none  | start    |
      | A call that has begun goes on, since its results expire | 4000 | 1  | 9000 | 2500   | one   | start    |
      | A call that needs all its time is not given up          | 500  | 1  | 0    | 0      | one   | start    |
      | A call that can't be served even without waits ends     | 499  | 1  | 0    | 0      | one   | give-up  |

  # Guards against results that expire before the other stages of their call have their turn, and against holding
  # calls that may still be on time.
  Scenario Outline: <rule>
    Given a staged call of priority 1 that needs 500 ms, and whose caller waits for 9000 ms
    And at another stage service the oldest piece of priority <of> has waited for <oldest> ms
    And the call <lateness>
    Then its next stage is decided to <decision>

    Examples:
      | rule                                                       | of | oldest | lateness          | decision |
      | A late call is held while others wait for half of the TTL  | 1  | 2100   | is late           | hold     |
      | Its results don't expire if the others have their turn     | 1  | 1900   | is late           | start    |
      | Less urgent work doesn't hold it                           | 2  | 2100   | is late           | start    |
      | A call that may be on time starts                          | 1  | 2100   | may be on time    | start    |
      | A stage with inputs starts, since they expire              | 1  | 2100   | is late and begun | start    |

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

  # Guards against a held call that starts too early, that is recorded at each decision, or that never ends.
  Scenario Outline: A held stage <rule>
    When a stage is decided to hold twice, and then to <decision>
    Then it has <end> after 200 ms, and was recorded as held once

    Examples:
      | rule                                        | decision | end      |
      | starts when it is not held any more         | start    | started  |
      | ends when its call can't be served any more | give-up  | given-up |
