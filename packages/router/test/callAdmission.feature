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

  # Guards against refusals of calls that need no stage worker.
  Scenario: A call without stages is admitted whatever waits
    Given a call without stages
    And at its stage service new pieces of priority 0 wait for 60000 ms, the oldest for 9000 ms
    And timers are 500 ms late in the mean
    Then it is admitted
