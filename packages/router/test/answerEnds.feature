@router
Feature: An answer without framing is complete only if it is shown to be
  An answer may have neither a length nor chunks and end with its connection. So may one that its target has broken off.

  Background:
    Given a router with a route for each kind of call and the targets "a" and "b"

  # Guards against logs that can't tell how an answer was framed, where it ended and what became of its sender.
  Scenario Outline: The log says how an answer without framing ended
    Given a target whose <answer> ends <where>, and <sender> afterwards
    When a "<route>" call is made
    Then the call has a line "answer-ended" with framing "close" and position "<position>"

    Examples:
      | route  | answer      | where           | sender  | position       |
      | stream | stream      | between events  | lives   | between-events |
      | stream | stream      | within an event | lives   | within-event   |
      | stream | stream      | before an event | lives   | no-event       |
      | order  | plain body  | anywhere        | lives   | no-stream      |

  # Guards against a part of an answer that looks complete, since no proof of a crash was taken for a proof of life.
  Scenario Outline: An answer without framing is complete only if its sender says that it still runs
    Given a target whose <answer> ends <where>, and whose process then shows itself as "<sender>"
    When a "<route>" call is made and 1500 ms pass
    Then <outcome>

    Examples:
      | route  | answer     | where          | sender      | outcome                                           |
      | stream | stream     | between events | same-start  | the caller gets the events 1 to 2 and a complete response |
      | stream | stream     | between events | other-start | the caller gets the events 1 to 2 and an aborted response |
      | stream | stream     | between events | gone        | the caller gets the events 1 to 2 and an aborted response |
      | stream | stream     | between events | unknown     | the caller gets the events 1 to 2 and an aborted response |
      | stream | stream     | before an event | same-start | the caller gets 502                               |
      | order  | plain body | anywhere       | same-start  | the caller gets a response that ends by its close |
      | order  | plain body | anywhere       | other-start | the caller gets 502                               |
      | order  | plain body | anywhere       | unknown     | the caller gets 502                               |
      | order  | stream     | within an event | same-start | the caller gets 502                               |

  # Guards against a stream that ends at the crash of its target although another one could go on with it.
  Scenario Outline: A resumable stream whose sender is not known to run goes on at another target
    Given a first target whose stream ends between events, and whose process then shows itself as "<sender>"
    When a "resumable" call is made and 1500 ms pass
    Then the caller gets the events 1 to 4 and a complete response
    And the targets got 2 sends

    Examples:
      | sender      |
      | other-start |
      | gone        |
      | unknown     |

  # Guards against sound answers that are lost, since one question about their sender had no answer.
  Scenario: A target that does not answer at once is asked again
    Given a target whose stream ends between events, and whose process shows itself at the 4th question
    When a "stream" call is made and 1500 ms pass
    Then the caller gets the events 1 to 2 and a complete response

  # Guards against an answer to an earlier question, which says nothing of what happened after it.
  Scenario: A question that was sent before the end of a body proves nothing
    Given a question to a target is in progress when two bodies end
    When the target answers that it runs, and is gone at the next question
    Then the first asker learns "same-start" and the other two "gone", by 2 questions

  # Guards against a stream that a killed router ends between two events for a caller whose protocol has no chunks.
  Scenario: The last byte of events is withheld from a caller without chunks, also when the stream is resumed
    Given the caller's protocol has no chunks
    And a first target whose stream ends between events, and whose process then shows itself as "gone"
    When a "resumable" call is made and 1500 ms pass
    Then the caller gets the events 1 to 4 and a complete response
    And no write before the end completed an event that was the last one

  # Guards against a stream that looks complete to a caller without chunks although its sender is gone.
  Scenario: A caller without chunks gets a broken event when the stream breaks off
    Given the caller's protocol has no chunks
    And a target whose stream ends between events, and whose process then shows itself as "gone"
    When a "stream" call is made and 1500 ms pass
    Then the caller gets the events 1 to 2 without the last byte, and an aborted response

  # Guards against an answer that counts as complete because a pause forbids the question whether its target still runs.
  Scenario: A target that may not be asked is not known to run
    Given a target that may not be asked when a body ends
    When the router runs for 600 ms
    Then nobody asked the target, and the asker with 500 ms learns "unknown"

  # Guards against a call that goes on for the time of a question although its deadline is over or its caller has left.
  Scenario: A question ends with its call
    Given a question to a target is in progress when two bodies end
    When their calls are aborted
    Then the askers learn "unknown" at once
