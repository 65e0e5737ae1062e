@router @permits
Feature: Sends to a target beyond the equal share of a router
  Each router may send its part of a target's limit. What the parts leave over is granted by one router, so
  that calls with the same prompt reach the target that has it cached, and no limit is exceeded.

  Scenario: All sends of all routers stay within the limit of a target
    Given 21 routers that share a limit of 30 requests per second for each of 8 targets
    When each router gets 40 calls a second for 6 seconds, with prompts that one target has cached
    Then no target gets more than 30 requests in any second
    And more than 20 requests a second reach the preferred target

  Scenario: A prompt goes to the same target from most routers
    Given 21 routers that share a limit of 30 requests per second for each of 27 targets
    When each router gets 6 calls a second for 20 seconds, with prompts of 500 sessions
    Then at most 5 % of the calls reach a target that their session has not used first

  Scenario Outline: A router that may have been replaced grants nothing
    Given 3 routers that share a limit of 35 requests per second for each of 8 targets
    When <event>
    Then the granting router grants nothing

    Examples:
      | event                                                        |
      | the granting router has not heard from the store for 3 s     |
      | the granting router saw another router leave a second ago    |

  Scenario: A call doesn't wait for a router that doesn't answer
    Given 3 routers that share a limit of 35 requests per second for each of 8 targets
    When the granting router doesn't answer
    Then a permit is refused within 30 ms
