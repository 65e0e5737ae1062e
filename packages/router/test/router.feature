@router
Feature: A router sends calls to targets and forwards their responses

  Background:
    Given a router with a route for each kind of call and the targets "a" and "b"

  Scenario: A target responds to a call
    When a "safe" call is made
    Then the caller gets 200 from the target
    And the targets got 1 send

  Scenario: An at-most-once call that may have run is not sent again
    Given the connection breaks during each call
    When an "order" call is made
    Then the caller gets 502
    And the targets got 1 send

  Scenario: An idempotent call that may have run is sent to another target
    Given the connection breaks during the first call
    When a "safe" call is made
    Then the caller gets 200 from the target
    And the targets got 2 sends to different targets

  Scenario: A call runs on no more targets than its route allows
    Given the connection breaks during each call
    When a "safe" call is made
    Then the caller gets 502
    And the targets got 2 sends to different targets

  Scenario Outline: A call that provably did not run is sent again
    Given the first send ends as "<result>"
    When an "order" call is made
    Then the caller gets 200 from the target
    And the targets got 2 sends to different targets

    Examples:
      | result  |
      | refused |
      | moved   |
      | unsent  |

  Scenario: A refusal states not-run only if nothing can have run
    Given each send ends as "refused"
    When an "order" call is made
    Then the caller gets 503 with a time to retry

  Scenario: A response that belongs to another call is never forwarded
    Given each send ends as "foreign"
    When an "order" call is made
    Then the caller gets 502
    And the targets got 1 send

  Scenario: A success without proof of origin is not forwarded
    Given the targets respond to each call without proof of origin
    When an "order" call is made
    Then the caller gets 502

  Scenario: An error response of the target is forwarded unchanged
    Given the targets respond to each call with status 500
    When an "order" call is made
    Then the caller gets 500 from the target

  # Guards against a call that has run and is entered twice, as the status of its target told the caller that it had not.
  Scenario Outline: A status that promises not-run is no answer to a call that may not run again
    Given the targets respond to each call with status <status>
    When a "<kind>" call is made
    Then the caller gets 502 without a time to retry
    And the targets got 1 send
    And the log names the status <status> of the target

    Examples:
      | kind   | status |
      | order  | 408    |
      | order  | 421    |
      | order  | 429    |
      | order  | 503    |
      | stream | 408    |
      | stream | 421    |
      | stream | 429    |
      | stream | 503    |

  # Guards against a call that a second target has run, and whose caller is told what only holds for the first one.
  Scenario: A status that promises not-run proves nothing after a target that did not run the call
    Given the first send ends as "refused"
    And the targets respond to each call with status 503
    When an "order" call is made
    Then the caller gets 502 without a time to retry
    And the targets got 2 sends to different targets

  Scenario Outline: A status that promises not-run is forwarded for a call that may run again
    Given the targets respond to each call with status <status>
    When a "<kind>" call is made
    Then the caller gets <status> from the target

    Examples:
      | kind      | status |
      | safe      | 429    |
      | safe      | 503    |
      | resumable | 408    |
      | resumable | 503    |

  # Guards against a target that keeps its share of calls though all of them fail.
  Scenario: A target whose status is replaced is avoided like one that fails
    Given the targets respond to each call with status 429
    When 3 "order" calls are made
    Then each target that was sent a call has a share of failures

  Scenario: An interrupted body is not forwarded
    Given each response body is interrupted
    When an "order" call is made
    Then the caller gets 502

  # Guards against a faulty target that fills the memory of the router with a response without end.
  Scenario Outline: A response without end is given up
    Given the response to each "<kind>" call is <what> without end
    When a "<kind>" call is made
    Then the caller gets 502
    And at most 9 MB were read

    Examples:
      | kind   | what                    |
      | order  | bytes                   |
      | stream | bytes that are no event |

  Scenario: A resumable stream continues at another target where it was interrupted
    Given the first stream is interrupted after event 2
    When a "resumable" call is made
    Then the caller gets the events 1 to 4 once each and a complete response
    And the second send resumes after event 2

  Scenario: A stream that may not be retried is aborted where it was interrupted
    Given the first stream is interrupted after event 2
    When a "stream" call is made
    Then the caller gets the events 1 to 2 and an aborted response
    And the targets got 1 send

  Scenario: An incomplete event is not forwarded
    Given the first stream is interrupted within event 3
    When a "stream" call is made
    Then the caller gets the events 1 to 2 and an aborted response

  # Guards against a refusal that is written into a stream which has begun, and ends the task of its call.
  Scenario Outline: A stream that nothing can continue is aborted
    Given the first stream is interrupted after event 2, and then <what>
    When a "resumable" call is made
    Then the caller gets the events 1 to 2 and an aborted response
    And the call has one line that it was cut

    Examples:
      | what                                 |
      | the retry budget is exhausted        |
      | every target refuses                 |
      | no target is left                    |
      | the prompt is stopped                |
      | the stage results are gone           |

  # Guards against an answer of the next target in the middle of a caller's stream, or as its end.
  Scenario Outline: Only the rest of a stream continues it
    Given the first stream is interrupted after event 2, and then the next target answers with <what>
    When a "resumable" call is made
    Then the caller gets the events 1 to 2 and an aborted response
    And the call has one line that it was cut

    Examples:
      | what                                 |
      | status 500                           |
      | status 404                           |
      | status 302                           |
      | status 206                           |
      | a body of another type               |
      | a body with a length                 |
      | a head only                          |
      | events from the start                |
      | events without proof of origin       |

  Scenario: The final response comes at the route's timeout
    Given the targets never respond
    When an "order" call is made
    Then after 860 ms the caller gets 504
    And the send to the target is cancelled

  Scenario: A caller that disconnects cancels an idempotent call
    Given the targets never respond
    When a "safe" call is made
    And the caller disconnects
    Then the send to the target is cancelled

  Scenario: A caller that disconnects does not cancel an at-most-once call
    Given the targets never respond
    When an "order" call is made
    And the caller disconnects
    Then the send to the target is not cancelled

  # Guards against at-most-once calls that are sent again, or for the first time, for nobody.
  Scenario Outline: A call that has not run is not sent after its caller disconnects
    Given each send ends as "refused" after 90 ms
    When an "<kind>" call is made
    And the caller disconnects
    Then no more sends follow

    Examples:
      | kind  |
      | order |
      | safe  |

  # Guards against calls that crash one target after another through a part that their prompts share.
  Scenario: Calls with a prompt part that crashed three targets are not sent
    Given 6 targets that crash before they respond to the prompt part "deadly"
    When 1 "stream" calls are made with the prompt parts "shared" and one of their own
    And 8 "stream" calls are made with the prompt parts "shared,deadly" and one of their own
    Then the targets got 4 sends
    And the caller gets 422
    When 1 "stream" calls are made with the prompt parts "shared,other" and one of their own
    Then the caller gets 200 from the target

  # Guards against a call that crashes one target after another once its response has begun.
  Scenario Outline: A call that crashed three targets is not sent, whenever it crashes them
    Given 6 targets that crash <when> of responses to the prompt part "deadly"
    When 1 "stream" calls are made with the prompt parts "shared" and one of their own
    And 8 "stream" calls are made with the prompt parts "shared,deadly" and one of their own
    Then the targets got 4 sends
    When 1 "stream" calls are made with the prompt parts "shared,other" and one of their own
    Then the caller gets 200 from the target

    Examples:
      | when                       |
      | after the head             |
      | within the first event     |
      | after the first event      |
      | before the last event      |

  # Guards against a body that looks complete although it isn't: its target has cut it, or a killed router.
  Scenario Outline: A body without a length is only forwarded as complete if its target lives
    Given a target that <state> after a response of <bytes> bytes that ends with its connection
    When an "order" call is made
    Then <outcome>

    Examples:
      | state   | bytes | outcome                                            |
      | crashes | 16385 | the caller gets 502                                |
      | lives   | 16385 | the caller gets a response that ends by its length |
      | crashes | 800   | the caller gets 502                                |
      | lives   | 800   | the caller gets a response that ends by its close  |

  Scenario Outline: A stream without a length is only forwarded as complete if its target lives
    Given a target that <state> after a response of 32 bytes that ends with its connection
    When a "stream" call is made
    Then the caller gets the events 1 to 2 and <end> response

    Examples:
      | state   | end         |
      | crashes | an aborted  |
      | lives   | a complete  |

  # Guards against a call that crashes its targets for ever, because its first events count as a response.
  Scenario: The same call is not sent once it has crashed three targets after its first event
    Given 6 targets that crash after the first event of responses to the prompt part "deadly"
    When the same "stream" call with the prompt part "deadly" is made 8 times
    Then the targets got 3 sends
    And the caller gets 422

  Scenario: Broken connections to targets that live stop no calls
    Given 6 targets that break connections before they respond to the prompt part "deadly"
    When 8 "stream" calls are made with the prompt parts "shared,deadly" and one of their own
    Then the targets got 8 sends

  Scenario: While a rollout runs, calls go to the old version and are observed
    Given a rollout to the version of target "b"
    When 3 "stream" calls are made
    Then each send went to target "a"
    And the rollout saw 3 runs of the old version, 0 failed and 3 with a pace

  Scenario: A run that fails is observed as failed
    Given a rollout to the version of target "b"
    And the connection breaks during each call
    When 2 "order" calls are made
    Then the rollout saw 2 runs of the old version, 2 failed and 2 with a pace

  # Guards against a version that loses its callers and is rolled out, since nothing is known of their calls.
  Scenario: A call whose caller leaves without a response is a lost run of a version
    Given a rollout to the version of target "b"
    And the targets never respond
    When a "stream" call is made
    And the caller disconnects
    Then the rollout saw 1 run of the old version, 0 failed and 0 with a pace
    And 1 of them was lost

  Scenario: A call whose deadline passes without a response is a lost run of a version
    Given a rollout to the version of target "b"
    And the targets never respond
    When a "safe" call is made
    And its deadline passes
    Then the rollout saw 1 run of the old version, 0 failed and 0 with a pace
    And 1 of them was lost

  # Guards against a slow version that is taken for a fast one, since its callers leave before its responses end.
  Scenario: A response that its caller leaves is no measured run of a version
    Given a rollout to the version of target "b"
    And responses begin and never end
    When a "safe" call is made
    And the caller disconnects
    Then the rollout saw 1 run of the old version, 0 failed and 0 with a pace
    And 1 of them was lost

  Scenario: The time to the first event of a stream is observed
    Given a rollout to the version of target "b"
    When 3 "stream" calls are made
    Then the rollout saw the starts of 3 runs of the old version

  Scenario: Keys are not accepted on old evidence
    Given the evidence for the configuration is 5001 ms old
    When an "order" call is made
    Then the caller gets 503 with a time to retry
    And the targets got 0 sends

  Scenario: An unknown key is refused permanently only on recent evidence
    When a call with an unknown key is made
    Then the caller gets 401
    Given the evidence for the configuration is 3000 ms old
    When a call with an unknown key is made
    Then the caller gets 503 with a time to retry

  Scenario: An unknown route is refused permanently only on recent evidence
    When a call to an unknown route is made
    Then the caller gets 404
    Given the evidence for the configuration is 3000 ms old
    When a call to an unknown route is made
    Then the caller gets 503 with a time to retry

  Scenario: The active configuration never goes back to an older version
    When the route table is updated to version 5 without routes after version 7
    Then configuration version 7 is active

  Scenario: Retries stop when the budget is exhausted
    Given a retry budget of 3
    And each send ends as "refused"
    When 10 "order" calls are made
    Then the targets got at most 13 sends

  # Guards against a cold target that gets more requests than it can handle, as calls that are ready in the same turn of
  # the event loop are all sent before any of them is counted.
  Scenario Outline: Calls that are ready together stay within the limit of a cold target
    Given a target that handles <limit> requests a second while it is cold
    When <calls> "<kind>" calls come at the same time
    Then the target got <limit> sends within a second

    Examples:
      | limit | calls | kind   |
      | 3     | 12    | order  |
      | 3     | 12    | staged |
      | 1     | 2     | safe   |
      | 5     | 64    | stream |

  # Guards against calls that wait for a permit together, and are then sent together beyond the share of the router.
  Scenario: Calls whose permits are refused together stay within the limit of a cold target
    Given a target that handles 3 requests a second while it is cold
    And another target, and permits that are refused after 5 ms
    When 12 "order" calls come at the same time
    Then each target got at most 3 sends within a second

  Scenario: Stages run in order, and their results go with the call
    When a "staged" call with 2 and 3 pieces is made
    Then the caller gets 200 from the target
    And the second stage's pieces got the 2 results of the first
    And the target got the 3 results of the second stage
    And every result is freed once

  Scenario: A failed stage leads to a refusal with the outcome not-run
    Given the stage workers fail
    When a "staged" call with 2 and 3 pieces is made
    Then the caller gets 503 with a time to retry
    And the targets got 0 sends

  Scenario: A caller whose stages are busy is told to retry within the time that it waits
    Given the stage workers are busy
    When a "staged" call with 2 and 3 pieces is made
    Then the caller gets 503 and should retry after 240 ms
    And the targets got 0 sends

  # Guards against stages that run for a call which can't be served in time.
  Scenario: A call that can't be served in time is refused before its stages begin
    Given new pieces wait for 5000 ms at the stage workers
    When a "staged" call with 2 and 3 pieces is made
    Then the caller gets 503 with a time to retry
    And no stage of the call has begun

  # Guards against a stage that runs although the response can't start while the caller waits.
  Scenario: A call that can't be served any more ends before its next stage
    Given responses of targets took 700 ms, and each stage takes 120 ms
    When a "staged" call with 2 and 3 pieces is made
    Then the caller gets 503 with a time to retry
    And only the first stage of the call has begun
    And every result is freed once

  # Guards against a send whose response can't start while the caller waits.
  Scenario: A call whose stages end too late is not sent, and its results are freed
    Given responses of targets took 700 ms, and each stage takes 60 ms
    When a "staged" call with 2 and 3 pieces is made
    Then the caller gets 503 with a time to retry
    And the targets got 0 sends
    And every result is freed once

  Scenario: Stages run once more when their results are gone
    Given the first send ends as "inputs-gone"
    When a "staged" call with 1 and 1 pieces is made
    Then the caller gets 200 from the target
    And every result is freed once

  # Guards against a call that has run and whose caller is told that it has not, once its stages ran again.
  Scenario: A call that may have run is not refused as not run after its stages ran again
    Given the connection breaks during the first call, and its stage results are gone after it
    When a "safe" call is made
    Then the caller gets 502

  Scenario: A path matches the route with the longest prefix
    Then the path "/order/deep/x" goes to the route "deep"
    And the path "/order/x" goes to the route "order"
    And the path "/orders" goes to no route

  # Guards against routes that are served although their stages can't run in any order.
  Scenario Outline: A route whose stages can't run is refused at once, and no other route
    Given a version with a route "added" whose stages depend on <stages>
    When an "added" call is made
    Then the caller gets 503 as not run, with the code 5003, after 0 ms
    And the targets got 0 sends
    When a "safe" call is made
    Then the caller gets 200 from the target
    Given a version with a route "added" whose stages depend on [[1], []]
    When an "added" call is made
    Then the caller gets 200 from the target

    Examples:
      | stages            |
      | [[0]]             |
      | [[1], [0]]        |
      | [[], [2], [1]]    |
      | [[], [0, 7]]      |
      | [[0.5]]           |

  # Guards against calls that wait until their deadline for workers that get no pieces.
  Scenario: A route whose stage runs on a service without pieces is refused at once
    Given a version without services and with a route "added" whose stages depend on [[]]
    When an "added" call is made
    Then the caller gets 503 as not run, with the code 5003, after 0 ms

  # Guards against a call that another route with a shorter prefix serves in place of its own.
  Scenario: A path whose longest prefix is that of an invalid route goes to no other route
    Given a version whose route "deep" of the prefix "/order/deep/" is invalid
    When an "order" call with the path "/order/deep/x" is made
    Then the caller gets 503 as not run, with the code 5003, after 0 ms
    And the targets got 0 sends

  Scenario: A caller without a valid key learns nothing about an invalid route
    Given a version whose route "deep" of the prefix "/order/deep/" is invalid
    When an "order" call with the path "/order/deep/x" and no valid key is made
    Then the caller gets 401

  # Guards against stages that are skipped or renumbered, and against memory taken for any number of pieces.
  Scenario Outline: A call whose numbers of pieces can't be read or are too large is refused
    When a "staged" call with the numbers of pieces <pieces> is made
    Then the caller gets 400
    And 0 pieces were submitted

    Examples:
      | pieces      |
      | 500, 501    |
      | NaN, 1      |
      | 1, NaN      |

  Scenario: A call may have many pieces, and numbers for no stage do no harm
    When a "staged" call with the numbers of pieces 500, 500, NaN is made
    Then the caller gets 200 from the target
    And 1000 pieces were submitted
