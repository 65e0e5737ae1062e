@routerLink
Feature: Routers have pieces made by the owner of their service

  Background:
    Given a router that owns a service and a peer with an open link to it

  Scenario: A piece is made at the owner, and its times are the owner's own
    When the peer orders a piece that is due in 500 ms and has to be made in 2000 ms
    And the owner makes it as "10.0.0.1:1/a"
    Then the peer has the result "10.0.0.1:1/a"
    And the owner had to make it in about 2000 ms, and it was due in about 500 ms

  Scenario: An order that is cancelled ends at the owner
    When the peer orders a piece that is due in 500 ms and has to be made in 2000 ms
    And the peer does not want it any more
    Then the piece failed as "late" at the peer
    And the owner was told that nobody wants it

  Scenario: A result that crosses the cancel of its order is freed
    When the peer orders a piece that is due in 500 ms and has to be made in 2000 ms
    And the peer does not want it any more
    And the owner makes it as "10.0.0.1:1/b"
    Then the owner is told to free "10.0.0.1:1/b"

  Scenario: Orders end without a result when the link is lost
    When the peer orders a piece that is due in 500 ms and has to be made in 2000 ms
    And the owner is gone
    Then the peer has no result

  Scenario: Bytes that are no frames end the link
    When a stranger sends 2000 random frames to the owner
    Then each of its links was closed, and the peer's link still works
