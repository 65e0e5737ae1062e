@timeline
Feature: Timeline of the events of all processes

  Scenario: Timestamps of a hybrid clock increase even if the wall clock jumps
    Given any sequence of wall clock times with received timestamps
    Then each timestamp is later than the previous one and than every merged one
    And no timestamp is ahead of the wall clocks by more than the drift limit

  Scenario: Messages order the events of nodes whose clocks differ
    Given any exchange of messages between nodes whose clocks differ
    Then the merged timeline has each cause before its effect, each event once

  Scenario: The ring buffer keeps the latest events
    Given any number of events recorded in ring buffers of any capacity
    Then the ring buffer holds the latest of them in order and counts the others

  Scenario: A query filters by request, subject, kind and timestamp
    Given a timeline of the node "entry-1" with two requests
    Then its query by request "r1" gives "request-accepted stage-sent stage-ended request-answered"
    And its query by subject "draft" gives "stage-sent stage-ended"
    And its query by kind "request-refused" gives "request-refused"
    And its query since its third event gives "request-refused stage-ended request-answered"

  Scenario: A request is explained in sentences
    Given a timeline of the node "entry-1" with two requests
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
      No event of the request is known: no node has seen it, or newer events have overwritten its events.
      """

  Scenario: The SVG image is well-formed for any names
    Given any names in the events of an SVG image
    Then every tag of the SVG image is closed and no name opens one
