@router
Feature: The pieces of a stage go to the owner of its service, also when the owner changes

  Background:
    Given a router that owns a stage service with one worker, and a peer

  # Guards against results that are thrown away and made again because the owner of their service began to stop.
  Scenario: A router that begins to leave hands on the pieces that wait, and ends the calls that run
    When 2 pieces for one worker are submitted, and the peer becomes the owner
    Then the peer gets 1 piece, and the worker ends the other
    And each piece has the result of where it ran

  Scenario: Pieces of a peer are handed on to the new owner
    When 2 pieces for one worker are submitted by the peer, and the peer becomes the owner
    Then the peer gets 1 piece, and the worker ends the other
    And each piece has the result of where it ran

  # Guards against results that no one frees, since they were made for a router that has handed on their pieces.
  Scenario: A result that the new owner made is freed through it
    When 2 pieces for one worker are submitted by the peer, and the peer becomes the owner
    And the caller of the pieces frees the results
    Then the peer frees its result

  Scenario: Pieces at an owner whose link is lost are submitted again at once
    When a piece is submitted while the peer is the owner, and the link to the peer is lost
    Then the worker ends the piece

  # Guards against a slow owner that is taken for a lost one, and against routers that then each do its work.
  Scenario: Pieces of an owner that has no CPU time go to its deputy
    Given the router has no CPU time for more pieces
    When a piece is submitted
    Then the peer gets 1 piece and the workers none

  Scenario: A piece that no candidate accepts fails as busy after a short wait
    Given the router has no CPU time for more pieces
    And the peer accepts no pieces
    When a piece is submitted
    Then it fails as "busy" after 700 to 800 ms

  Scenario: A router that reaches no other one runs its pieces by itself
    Given the router has no CPU time for more pieces
    And the peer can't be reached
    When a piece is submitted
    Then the workers get it after 700 to 800 ms
