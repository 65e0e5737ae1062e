@weightStore
Feature: Rate limit of the weight store
  The client spaces its calls, and pauses when the store responds that there are too many.

  Scenario: Calls wait for their turn
    Given a token bucket with 10 tokens per second and a burst of 2
    When 5 tokens are taken at once
    And 1000 ms pass for the bucket
    Then the tokens were granted after "0,0,100,200,300" ms

  Scenario: A pause holds back every call
    Given a token bucket with 10 tokens per second and a burst of 2
    When the bucket is paused for 500 ms
    And 2 tokens are taken at once
    And 1000 ms pass for the bucket
    Then the tokens were granted after "500,600" ms

  Scenario: Random sequences of calls stay within the rate limit
    Then 300 random sequences of taken tokens stay within rate and burst

  Scenario: The client pauses for the requested time when the store is over its rate limit
    Given a fake weight store that answers 2 calls per second
    And a weight store client with 1000 calls per second
    When the client fetches 3 manifests one after another
    Then the fetches ended as "ok,ok,target-refused"
    And the last error asks for a wait of 1000 ms
    And a further call waits until 1000 ms have passed
