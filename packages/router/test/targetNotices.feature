@router @targetNotices
Feature: A router believes what targets say about themselves

  Background:
    Given a router with a route for each kind of call and the targets "a" and "b"

  # Guards against calls to a target that has said in some answer that it is leaving.
  Scenario Outline: A target that says in any answer that it is leaving gets no further call
    Given target "a" says that it is leaving with an answer that is "<answer>"
    When 1 "safe" calls are made
    And 20 "safe" calls are made at once
    Then target "a" got 1 send
    And target "b" got at least 20 sends

    Examples:
      | answer       |
      | 200          |
      | 404          |
      | 500          |
      | cut off      |
      | without end  |
      | refused      |
      | inputs-gone  |

  # Guards against calls to a leaving target while the store can't say that it is leaving.
  Scenario: A leaving target gets no further call while the store is away
    Given target "a" says that it is leaving with an answer that is "200"
    And the evidence for the configuration is 4000 ms old
    When 20 "safe" calls are made
    Then target "a" got 1 send

  # Guards against a late answer that keeps a target that was started again from getting calls.
  Scenario: A late answer of an earlier start says nothing about a later one
    Given target "a" says that it is leaving with an answer that is "200"
    And target "a" is started again during its first call
    When 20 "safe" calls are made
    Then target "a" got more than 1 send

  Scenario: A stream is resumed at a target that is not leaving
    Given target "a" says that it is leaving with an answer that is "a cut stream"
    When 5 "resumable" calls are made
    Then target "a" got 1 send

  # Guards against requests to a target that asked the node to send it nothing for a time.
  Scenario Outline: A target that asks for a pause is sent nothing until it ends
    Given target "a" asks for a pause of <pause> ms with an answer that is "<answer>"
    When 8 "safe" calls are made
    Then target "a" got 1 send in the first <quiet> ms
    And target "a" got more than 1 send

    Examples:
      | pause | quiet | answer  |
      | 1500  | 1500  | refused |
      | 1500  | 1500  | 503     |

  # Guards against figures that never reach the choice of a target.
  Scenario Outline: A target that states that it is slow gets fewer of the calls that are made at once
    Given target "a" states a load of <load> %
    When 1 "safe" calls are made
    And 4 "safe" calls are made at once
    Then target "a" got <sends>

    Examples:
      | load | sends   |
      | 100  | 3 sends |
      | 300  | 2 sends |
      | 600  | 1 send  |

  # Guards against ejecting a target that only asked for a pause.
  Scenario Outline: A pause is no failure of the target
    Given each target asks for a pause of 100 ms with an answer that is "<answer>"
    When 12 "safe" calls are made
    Then no target is suspended or has failures

    Examples:
      | answer  |
      | refused |
      | 503     |

  Scenario: Only the retry itself costs retry budget
    Given a retry budget of 1
    And target "a" asks for a pause of 60000 ms with an answer that is "refused"
    When 20 "safe" calls are made
    Then the caller gets 200 from the target
    And target "a" got 1 send
    And the targets got 21 sends in all

  # Guards against calls that wait until their deadline for targets that are known not to take them.
  Scenario: A call that can't wait for the end of any pause is refused at once
    Given both targets have asked for a pause, "a" of 5000 ms and "b" of 3000 ms
    When an "order" call is made
    Then the caller gets 503 and should retry after 3100 ms
    And it was refused at once
    And the targets got 0 sends

  Scenario: The stages of such a call are not run
    Given both targets have asked for a pause, "a" of 5000 ms and "b" of 3000 ms
    When a "staged" call with 2 and 3 pieces is made
    Then the caller gets 503 and should retry after 3100 ms
    And no piece was run

  Scenario: A call that can wait is sent when the first pause ends
    Given both targets have asked for a pause, "a" of 5000 ms and "b" of 200 ms
    When a "safe" call is made
    Then the caller gets 200 from the target
    And the targets got 1 send

  Scenario: A call that has nothing but leaving targets is refused as before
    Given both targets have said that they are leaving
    When a "safe" call is made
    Then the caller gets 503 with a time to retry
    And the targets got 0 sends

  # Guards against callers that all come back to a target at the moment its pause ends.
  Scenario: Calls that waited for the end of a pause come back spread
    Given both targets have asked for a pause, "a" of 300 ms and "b" of 5000 ms
    When 60 "safe" calls are made at once
    Then target "a" got at most 3 sends in the first 500 ms
    And target "a" got at least 10 sends

  # Guards against a second check of a paused target while calls on it break off.
  Scenario: Calls that break at a paused target check it once
    Given both targets have asked for a pause, "a" of 5000 ms and "b" of 5000 ms
    When 4 calls break that had been sent to target "a" before
    Then 1 check was made of whether it still runs

  # Guards against sends to a target within the bounds of its leaving and its pauses, at any load.
  Scenario: No call goes to a leaving target, and none to a pausing one
    When targets leave, pause and restart at random under calls in 200 seeded runs
    Then 0 calls reached a leaving target after its bound
    And at most 2 requests reached a target within any pause
    And over half of the calls were answered, some of them by targets that were started again
