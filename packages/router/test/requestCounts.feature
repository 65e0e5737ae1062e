@router
Feature: Requests that targets began to run are counted once

  Background:
    Given a router with a route for each kind of call and the targets "a" and "b"

  # Guards against requests that are not counted, or twice since they ran again.
  Scenario Outline: A request that a target has begun, or may have begun, is counted once
    Given <what happens>
    When a "<route>" call is made
    Then 1 request of "shop" is counted

    Examples:
      | route     | what happens                                                                              |
      | safe      | the targets respond to each call with status 200                                          |
      | safe      | the targets respond to each call with status 500                                          |
      | safe      | the connection breaks during the first call                                               |
      | safe      | the connection breaks during each call                                                    |
      | order     | the connection breaks during each call                                                    |
      | order     | each send ends as "foreign"                                                               |
      | order     | the first send ends as "refused"                                                          |
      | order     | each response body is interrupted                                                         |
      | stream    | the first stream is interrupted after event 2                                             |
      | resumable | the first stream is interrupted after event 2, and then the next target answers with status 500 |
      | stream    | the connection breaks during each call                                                    |
      | stream    | each response body is interrupted                                                         |

  # Guards against requests that ran and are not counted, since their targets answered with a status that a target also
  # has for what it did not run.
  Scenario Outline: A request is counted whatever the status of its target, which has not stated that it did not run it
    Given the targets respond to each call with status <status>
    When a "<route>" call is made
    Then 1 request of "shop" is counted

    Examples:
      | route     | status |
      | order     | 408    |
      | order     | 421    |
      | order     | 429    |
      | order     | 503    |
      | safe      | 503    |
      | stream    | 503    |
      | resumable | 429    |

  # Guards against the report of requests that never ran.
  Scenario Outline: A request that no target has begun is not counted
    Given <what happens>
    When an "order" call is made
    Then 0 requests of "shop" are counted

    Examples:
      | what happens                                     |
      | each send ends as "refused"                      |
      | each send ends as "moved"                        |
      | each send ends as "unsent"                       |

  # Guards against counts of requests whose stages failed.
  Scenario: A request whose stages failed is not counted
    Given the stage workers fail
    When a "staged" call is made
    Then 0 requests of "shop" are counted

  # Guards against the time of the head in place of that of the first token.
  Scenario: A stream is counted at its first event
    Given the targets send the first event of a stream 300 ms after its head
    When a "stream" call is started
    And the clock of the router goes on by 290 ms
    Then 0 requests of "shop" are counted
    When the clock of the router goes on by 20 ms
    Then 1 request of "shop" is counted
