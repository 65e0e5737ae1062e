@gate
Feature: Prompts that crash the targets that run them are stopped

  # Guards against a prompt that crashes one target after another once its response has begun.
  Scenario: Prompts that begin alike are stopped after three crashes, although no run is alike
    When requests that begin with the same prompt crash targets 1 to 3 while these respond
    Then a further request that begins with it is stopped
    And a request with another prompt runs

  Scenario: A prompt of which a response was whole is not stopped
    Given a target has responded to a request that begins with the same prompt
    When requests that begin with the same prompt crash targets 1 to 3 while these respond
    Then a further request that begins with it runs
