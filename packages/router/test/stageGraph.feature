@stageGraph
Feature: The stages of a call run in the order of their dependencies, however they are numbered

  # Guards against pieces that get no inputs because their stage has a lower number than what it depends on.
  Scenario Outline: Each piece gets the results of all pieces that it depends on
    When the stages <stages> with <pieces> pieces run
    Then each piece got the results of all pieces of the stages that its own depends on
    And the call gets the results of the stages that no other depends on
    And no result is freed before its last use

    Examples:
      | stages                | pieces     |
      | [[], [0]]             | [2, 3]     |
      | [[1], []]             | [3, 2]     |
      | [[1], [2], []]        | [1, 2, 3]  |
      | [[1, 2], [3], [3], []] | [1, 2, 2, 1] |
      | [[2], [], [1]]        | [1, 2, 0]  |
      | [[3], [0, 3], [], [2]] | [1, 2, 1, 2] |

  # Guards against an order that only some numberings of a graph keep.
  Scenario: Each of many random graphs runs in the order of its dependencies
    When 300 random graphs of stages run
    Then each piece got the results of all pieces of the stages that its own depends on
    And no result is freed before its last use

  # Guards against deadlines and waits that are computed for the numbers of the stages in place of their order.
  Scenario: The times of stages do not depend on how they are numbered
    Then 300 random graphs have the same times after each was numbered anew

  Scenario: The work that is left of a reversed chain counts from its last stage
    Then the stages of a reversed chain have the times of the chain
