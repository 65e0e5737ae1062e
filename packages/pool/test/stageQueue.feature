@stageQueue
Feature: Pieces of stages meet in full calls

  Background:
    Given a stage service whose workers take 7 pieces a call and hold 10 results

  Scenario: Pieces of several requests meet in one call
    Given the only worker is busy
    When 3 requests submit 2 pieces each
    And the worker is free again
    Then the next call has 6 pieces

  Scenario: A request's pieces are not split while other whole requests fit
    Given the only worker is busy
    When 3 requests submit 3 pieces each
    And the worker is free again
    Then the next call has 6 pieces
    And the next call has 3 pieces

  Scenario: More pieces than a call takes are split
    When 1 request submits 9 pieces
    Then the next call has 7 pieces
    And the next call has 2 pieces

  Scenario: Room that comes free is seen by a worker that already waits
    Given results fill the worker
    When 1 request submits 2 pieces
    Then no call is made within 100 ms
    When the results are given up
    Then the next call has 2 pieces

  Scenario: Results that expire make room
    Given results fill the worker
    When 1 request submits 2 pieces
    Then the next call has 2 pieces within 4300 ms

  Scenario: A worker without room costs a piece none of its tries
    Given the worker answers "no-room" 10 times
    When 1 request submits 1 piece
    Then the piece is made in the end

  Scenario: A worker that fails costs tries
    Given the worker answers "failed" 10 times
    When 1 request submits 1 piece
    Then the piece fails as "unreachable"

  Scenario: An answer with results seen before belongs to another call
    Given the worker repeats its first answer once
    When 1 request submits 1 piece
    And 1 request submits 1 piece
    Then no two pieces have the same result

  Scenario: A piece whose request has ended is not sent
    Given the only worker is busy
    When 2 requests submit 1 piece each
    And the first request is given up
    And the worker is free again
    Then the next call has 1 piece
    And the first request's piece failed as "late"

  Scenario: A piece goes to an idle worker near its inputs
    Given idle workers in the zones "east" and "west"
    When a piece with inputs in "west" is submitted
    Then it is made in "west"

  Scenario: A piece does not wait for a busy worker near its inputs
    Given idle workers in the zones "east" and "west"
    And the worker in "west" is busy
    When a piece with inputs in "west" is submitted
    Then it is made in "east"

  Scenario: A request that can still be on time goes before one that can't
    Given the only worker is busy
    When a request that is past due submits 7 pieces
    And a request that is not due yet submits 7 pieces
    And the worker is free again
    Then the next call is for the request that is not due yet

  Scenario: What can't be made in time behind the others is given up at once
    Given the only worker is busy
    When 2 requests that are wanted within 1000 ms submit 7 pieces each
    And a request that is wanted within 1000 ms submits 7 pieces
    And 100 ms pass
    Then 1 request was given up
    And its pieces failed as "busy", all others are made

  Scenario: What is given up makes way for a shorter one behind it
    Given the only worker is busy
    When a request that is wanted within 450 ms submits 14 pieces
    And a request that is wanted within 450 ms submits 2 pieces
    And 60 ms pass
    Then 1 request was given up
    And its pieces failed as "busy", all others are made

  Scenario: A piece whose inputs are gone is not sent
    Given the only worker is busy
    When a piece with inputs that stay for 50 ms is submitted
    And 100 ms pass
    Then it failed as "input-gone"

  Scenario: A large result waits for a busy worker in the zone of its call while there is time
    Given idle workers in the zones "east" and "west"
    And the worker in "west" is busy
    When a piece for "west" is submitted that may wait 100 ms
    And 90 ms pass
    Then no worker was called for it
    When 20 ms pass
    Then it is made in "east"

  Scenario: A result that does not fit keeps no smaller one from the room that is left
    Given results fill all of the worker's room but for 150 bytes
    When a request submits pieces with results of 200 and 100 bytes
    Then the next call has 1 piece
    And its result has 100 bytes
