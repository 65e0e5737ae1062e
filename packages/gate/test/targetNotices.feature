@gate @targetNotices
Feature: A gate believes what its targets say about themselves

  # Guards against requests that run on a target that has said that it is leaving.
  Scenario: A leaving target gets no further request until it is started again
    Given a gate with a target that runs one request at a time
    When a request runs there that brings the answer that the target is leaving
    And 3 requests wait for the target meanwhile
    Then the requests that waited are refused as "target-leaving", not run
    And the target is reported as "leaving"
    When the target reports another start
    Then a request runs on the target

  # Guards against a late answer that keeps a target that was started again from getting requests.
  Scenario: A late answer of an earlier start says nothing about a later one
    Given a gate with a target that runs one request at a time
    When the target reports another start
    And an answer of the start before says that the target is leaving
    Then a request runs on the target

  # Guards against requests of any kind to a target that asked for a pause.
  Scenario: A target that asks for a pause is sent nothing until it ends
    Given a gate with a target that runs one request at a time
    When the target asks for a pause of 400 ms
    And a request with 2000 ms left arrives
    Then it has not run after 390 ms
    And the target may not be polled
    And it has run after 450 ms

  # Guards against requests that wait until their deadline for a target that is known not to take them.
  Scenario: A request that can't wait for the end of a pause is refused at once
    Given a gate with a target that runs one request at a time
    When the target asks for a pause of 3000 ms
    And a request with 1000 ms left arrives
    Then it is refused at once as "targets-paused", not run, and should be retried after 3000 ms
    And the target is reported as paused for 3000 ms

  Scenario Outline: Notices are read from each kind of answer of each kind of target
    Given a fake "<kind>" that has the fault "<fault>"
    When a request is sent to it
    Then the notice "<notice>" was read

    Examples:
      | kind    | fault                                                            | notice  |
      | engine  | {"kind":"leave","on":true}                                       | leaving |
      | engine  | {"kind":"leave","on":true} {"kind":"refuse","on":true}           | leaving |
      | engine  | {"kind":"leave","on":true} {"kind":"errors","share":1}           | leaving |
      | engine  | {"kind":"leave","on":true} {"kind":"break","afterTokens":1,"share":1} | leaving |
      | engine  | {"kind":"pause","retryAfter":"1.5"}                              | 1500    |
      | engine  | {"kind":"refuse","on":true}                                      | none    |
      | pool    | {"kind":"leave","on":true}                                       | leaving |
      | pool    | {"kind":"leave","on":true} {"kind":"errors","share":1}           | leaving |
      | pool    | {"kind":"pause","retryAfter":"2"}                                | 2000    |
      | service | {"kind":"leave","on":true}                                       | leaving |
      | service | {"kind":"leave","on":true} {"kind":"errors","share":1}           | leaving |
      | service | {"kind":"pause","retryAfter":"2"}                                | 2000    |
      | load    | {"kind":"leave","on":true}                                       | leaving |
      | order   | {"kind":"leave","on":true}                                       | leaving |
      | events  | {"kind":"leave","on":true}                                       | leaving |
      | probe   | {"kind":"leave","on":true}                                       | leaving |

  # Guards against requests to a target within the bounds of its leaving and its pauses, at any load.
  Scenario: No request goes to a leaving target, and none to a pausing one
    When targets of gates leave, pause and restart at random in 200 seeded runs
    Then 0 requests reached a leaving target after its answer
    And 0 requests reached a target within a pause
    And requests ran on targets that were started again
