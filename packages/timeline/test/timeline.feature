@timeline
Feature: Time line of events over all processes

  Scenario: Stamps of a hybrid clock grow whatever the wall clock does
    Given any walk of a wall clock with received stamps
    Then each stamp is later than the one before and than every merged one
    And no stamp is ahead of the wall clocks by more than the drift limit

  Scenario: Messages order events over nodes with clocks apart
    Given any exchange of messages between nodes with clocks apart
    Then the merged time line has each cause before its effect, each event once

  Scenario: The ring keeps the latest events
    Given any number of events recorded in rings of any capacity
    Then the ring holds the latest of them in order and counts the others

  Scenario: A query narrows by request, subject, kind and stamp
    Given a time line of the node "entry-1" with two requests
    Then its query by request "r1" gives "request-accepted stage-sent stage-ended request-answered"
    And its query by subject "draft" gives "stage-sent stage-ended"
    And its query by kind "request-refused" gives "request-refused"
    And its query since its third event gives "request-refused stage-ended request-answered"

  Scenario: A request is explained in plain sentences
    Given a time line of the node "entry-1" with two requests
    Then the request "r1" is explained as
      """
      +0 ms: entry-1 accepted the request for loans.
      +5 ms: entry-1 sent stage draft (target writer-1).
      +25 ms: entry-1 ended stage draft.
      +25 ms: entry-1 answered the request for loans.
      The longest step took 20 ms: from stage-sent at entry-1 to stage-ended at entry-1.
      The request ended after 25 ms with request-answered.
      """
    And the request "r3" is explained as
      """
      No event of the request is known: no node has seen it, or newer events replaced it.
      """

  Scenario: The picture is well-formed whatever names hold
    Given any names in the events of a picture
    Then every tag of the picture is closed and no name opens one
