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
