@router
Feature: Pieces that crash each stage worker that begins them
  Routers stop a call whose piece crashes one stage worker after another, and go on with the pieces that
  only shared a batch call with it.

  Background:
    Given a router with a route for each kind of call and the targets "a" and "b"
    And 8 stage workers of two routers

  # Guards against a call that crashes a worker with each attempt, and again each time that it is sent.
  Scenario Outline: A call whose piece crashed three workers is stopped at all routers
    Given the workers crash when they begin a piece of stage <stage> of the call "deadly"
    When the calls "deadly,one,two,three" are made at once
    Then 3 workers have crashed
    And the call "deadly" is refused as "fingerprint-stopped"
    And the calls "one,two,three" are served
    When the call "deadly" is made again at the other router
    Then none of its pieces is run
    And the call "deadly" is refused as "fingerprint-stopped"

    Examples:
      | stage |
      | 0     |
      | 1     |

  # Guards against a call that is stopped because its workers were slow, or because a piece ran beside another.
  Scenario: A call whose pieces are completed after a crash is no suspect
    Given the next 2 workers crash whatever they begin
    When the calls "one,two,three" are made at once
    Then the calls "one,two,three" are served
    And no piece is a suspect
