@stageQueue
Feature: Pieces of stages are batched into full calls
  The queue of a stage service batches the pieces of several requests into calls to its workers. It
  keeps within the result memory of the workers, retries failed pieces on other calls, and abandons
  pieces that can't finish before their deadline.

  Background:
    Given a stage service whose workers take 7 pieces per call and keep 10 results

  Scenario: Pieces of several requests are batched into one call
    Given the only worker is busy
    When 3 requests submit 2 pieces each
    And the worker is free again
    Then the next call has 6 pieces

  Scenario: A request's pieces are not split while other complete requests fit
    Given the only worker is busy
    When 3 requests submit 3 pieces each
    And the worker is free again
    Then the next call has 6 pieces
    And the next call has 3 pieces

  Scenario: More pieces than a call takes are split
    When 1 request submits 9 pieces
    Then the next call has 7 pieces
    And the next call has 2 pieces

  Scenario: A worker that already waits notices freed memory
    Given results fill the memory of the worker
    When 1 request submits 2 pieces
    Then no call is made within 100 ms
    When the results are freed
    Then the next call has 2 pieces

  # Guards against a batch call that overtakes the request that frees the memory for it.
  Scenario: Results take up memory until the worker has freed them
    Given results fill the memory of the worker
    And the worker takes 300 ms to free results
    When the results are freed
    And 1 request submits 2 pieces
    Then no call is made within 250 ms
    And the next call has 2 pieces within 100 ms

  # Guards against results whose handles are not known, which nothing can free before they expire.
  Scenario: A batch call without a response takes up memory until its results have expired
    Given the worker loses the responses to its calls
    When 1 request submits 6 pieces
    And 350 ms pass
    Then the worker has memory left for 4 results

  # Guards against results without handles: the worker goes on with a call whose connection is closed.
  Scenario: A batch call whose pieces are all cancelled runs to its end, and its results are freed
    Given the only worker is busy
    When the request that runs is cancelled
    Then its call was not closed
    When the worker is free again
    And 20 ms pass
    Then the worker has memory left for 10 results

  # Guards against calls that fail again and again because results are larger than configured.
  Scenario: A worker without memory for a result gets fewer of them for a while
    Given the worker keeps 5 results instead of 10
    When 3 requests submit 3 pieces each
    And 1000 ms pass
    Then 1 call found no memory for a result

  Scenario: Expired results free memory
    Given results fill the memory of the worker
    When 1 request submits 2 pieces
    Then the next call has 2 pieces within 4300 ms

  Scenario: A refusal for lack of memory doesn't count as an attempt
    Given the worker responds with "no-room" 10 times
    When 1 request submits 1 piece
    Then the piece succeeds eventually

  # Guards against a loop of calls to a worker without room, which responds at once and keeps pieces from others.
  Scenario: A worker without room for any result is tried again after a growing pause
    Given a worker without room for any result
    When a piece with a result of 1 byte is submitted every 10 ms for 1000 ms
    Then at most 8 calls found no memory for a result

  Scenario: Pieces run out of attempts on a worker that fails
    Given the worker responds with "failed" 10 times
    When 1 request submits 1 piece
    Then the piece fails as "unreachable"

  Scenario: A response with results seen before is rejected, as it belongs to another call
    Given the worker repeats its first response once
    When 1 request submits 1 piece
    And 1 request submits 1 piece
    Then no two pieces have the same result
    And 1 connection was closed because of its response

  Scenario: A piece whose request has ended is not sent
    Given the only worker is busy
    When 2 requests submit 1 piece each
    And the first request is cancelled
    And the worker is free again
    Then the next call has 1 piece
    And the first request's piece failed as "late"

  Scenario: A piece goes to an idle worker near its inputs
    Given idle workers in the zones "east" and "west"
    When a piece with inputs in "west" is submitted
    Then it runs in "west"

  Scenario: A piece does not wait for a busy worker near its inputs
    Given idle workers in the zones "east" and "west"
    And the worker in "west" is busy
    When a piece with inputs in "west" is submitted
    Then it runs in "east"

  Scenario: A request that can still be on time runs before one that can't
    Given the only worker is busy
    When a request that is past due submits 7 pieces
    And a request that is not due yet submits 7 pieces
    And the worker is free again
    Then the next call is for the request that is not due yet

  Scenario: A request that can't finish in time behind the others is abandoned at once
    Given the only worker is busy
    When 2 requests with a deadline in 1000 ms submit 7 pieces each
    And a request with a deadline in 1000 ms submits 7 pieces
    And 100 ms pass
    Then 1 request was abandoned
    And its pieces failed as "busy", all others succeeded

  Scenario: A shorter request runs in place of an abandoned one before it
    Given the only worker is busy
    When a request with a deadline in 450 ms submits 14 pieces
    And a request with a deadline in 450 ms submits 2 pieces
    And 60 ms pass
    Then 1 request was abandoned
    And its pieces failed as "busy", all others succeeded

  Scenario: A piece whose inputs have expired is not sent
    Given the only worker is busy
    When a piece with inputs that expire after 50 ms is submitted
    And 100 ms pass
    Then it failed as "input-gone"

  Scenario: A large result waits for a busy worker in the zone of its call while there is time
    Given idle workers in the zones "east" and "west"
    And the worker in "west" is busy
    When a piece for "west" is submitted that may wait 100 ms
    And 90 ms pass
    Then no worker was called for it
    When 20 ms pass
    Then it runs in "east"

  Scenario: A result that does not fit leaves the remaining memory to smaller results
    Given results fill the worker's memory except for 150 bytes
    When a request submits pieces with results of 200 and 100 bytes
    Then the next call has 1 piece
    And its result has 100 bytes
