@routerLink
Feature: Routers send pieces to the owner of their service

  Background:
    Given a router that owns a service and a peer with an open link to it

  Scenario: A piece runs at the owner, and its times are on the owner's clock
    When the peer orders a piece that is due in 500 ms and has to be done in 2000 ms
    And the owner completes it with "10.0.0.1:1/a"
    Then the peer gets the result "10.0.0.1:1/a"
    And at the owner the piece had to be done in about 2000 ms and was due in about 500 ms
    And at the owner nothing else orders the piece

  # Guards against an owner that orders the pieces of other routers by less than its own.
  Scenario: What decides when a piece is taken is passed on
    When the peer orders a piece that has to start in 300 ms to be on time
    And the owner completes it with "10.0.0.1:1/a"
    Then the peer gets the result "10.0.0.1:1/a"
    And at the owner the piece had to start in about 300 ms, with all else that orders it

  # Guards against an order that a router of an earlier release sent, which could not read the frame.
  Scenario Outline: The owner reports that a piece has begun to those that ask for it
    When the peer orders a piece and <asks> to know when it has begun
    And the owner has a worker that has begun it
    Then the peer knows of <times> pieces that have begun

    Examples:
      | asks         | times |
      | asks         | 1     |
      | does not ask | 0     |
  # Guards against routers that admit calls which the owner of a service can't serve in time.
  Scenario: The peer learns how long pieces wait at the owner
    Given pieces of priority 2 wait for 1500 ms at the owner, the oldest for 900 ms
    When the peer orders a piece that is due in 500 ms and has to be done in 2000 ms
    And the owner completes it with "10.0.0.1:1/a"
    Then the peer gets the result "10.0.0.1:1/a"
    And the peer knows of these waits

  Scenario: An order that is cancelled is also cancelled at the owner
    When the peer orders a piece that is due in 500 ms and has to be done in 2000 ms
    And the peer cancels it
    Then the piece fails as "late" at the peer
    And the order is cancelled at the owner

  Scenario: A result that crosses the cancellation of its order is freed
    When the peer orders a piece that is due in 500 ms and has to be done in 2000 ms
    And the peer cancels it
    And the owner completes it with "10.0.0.1:1/b"
    Then the owner frees "10.0.0.1:1/b"

  Scenario: Orders end without a result when the link is lost
    When the peer orders a piece that is due in 500 ms and has to be done in 2000 ms
    And the owner closes its links
    Then the peer gets no result

  Scenario: Bytes that are not valid frames close the link
    When an unknown client sends 2000 random frames to the owner
    Then each link of the client is closed, and the peer's link still works

  # Guards against a system call for each piece, which an owner of many pieces has no CPU time for.
  Scenario: Frames that are sent together share a write
    When a router sends 20 frames over a connection at once
    Then they are written at once, in their order

  Scenario: Evidence about crashes is shared
    When the peer shares evidence about crashes
    Then the owner gets the evidence

  Scenario: Evidence on a rollout and the decision on it are passed on
    When the peer sends evidence on a rollout and shares its decision
    Then the owner gets both

  Scenario: Evidence about leaving targets is shared with its age
    When the peer shares that a target was leaving 40 ms ago
    Then the owner gets that evidence

  Scenario Outline: What the owner has read from the store is passed on, with its age
    When the peer reads <what> of the store through the owner
    Then it gets the <what> that the owner has read

    Examples:
      | what    |
      | entries |
      | changes |
      | parts   |

  # Guards against a router that gets ever more pieces while it has more work than CPU time.
  Scenario: A router that says how much it accepts gets no more
    When the peer orders a piece that is due in 500 ms and has to be done in 2000 ms
    And the owner accepts 1 piece at once
    Then the peer submits no more to it
    When the owner accepts 9 pieces at once
    Then the peer submits to it again

  # Guards against an overloaded router that is taken for a lost one: its pieces were submitted again by every router.
  Scenario: A router that is silent gets no more pieces first, and counts as lost later
    When the owner has no CPU time
    Then the peer submits no more to it, before it takes the piece for lost
    And it submits nothing to it while it says nothing

  # Guards against counts or loads that are lost or changed by the encoding.
  Scenario: Counts of requests and loads of services are passed on
    When the peer sends counts of requests and the load of a service
    Then the owner gets the counts and the load
