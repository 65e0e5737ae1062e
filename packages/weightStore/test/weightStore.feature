@weightStore
Feature: The weight store within its rate
  The client waits its turn, and pauses when the store says that it has had enough.

  Scenario: Calls wait for their turn
    Given a token bucket with 10 tokens a second and a burst of 2
    When 5 tokens are taken at once
    And 1000 ms pass for the bucket
    Then the tokens came after "0,0,100,200,300" ms

  Scenario: A pause holds every call back
    Given a token bucket with 10 tokens a second and a burst of 2
    When the bucket is paused for 500 ms
    And 2 tokens are taken at once
    And 1000 ms pass for the bucket
    Then the tokens came after "500,600" ms

  Scenario: No history of calls goes over the rate
    Then 300 histories of taken tokens stay within rate and burst

  Scenario: A store that is over its rate is left alone for the time that it asks for
    Given a fake weight store that answers 2 calls a second
    And a weight store client with 1000 calls a second
    When the client asks for 3 manifests one after another
    Then the manifests came as "ok,ok,target-refused"
    And the client has learnt to wait 1000 ms
    And a further call waits until 1000 ms have passed
