@stageQueue
Feature: The cost of matching pieces to workers
  The owner of a stage service matches the pieces of the whole fleet, so the cost of a piece must not
  grow with the number of other pieces that wait.

  # Guards against an owner that runs out of CPU time in a burst, which makes every caller late.
  Scenario Outline: A piece costs as much with many waiting pieces as with few
    Given 12 idle workers without memory, and <waiting> waiting pieces that prefer a zone
    When one more piece is submitted
    Then its zone was looked up once
    And the memory of the workers was read at most 156 times

    Examples:
      | waiting |
      | 1       |
      | 100     |
