@operator
@ask-node
Feature: Operators ask nodes
  A node answers operators who have one of its keys, and nobody else.

  Background:
    Given a node with the operator keys "old-key" and "new-key"

  Scenario Outline: Each valid key reads the status
    When an operator with the key "<key>" asks for the node status
    Then the node status is the one that the node reported

    Examples:
      | key     |
      | old-key |
      | new-key |

  Scenario Outline: A wrong key is refused and never repeated
    When an operator with the key "<key>" asks for the node status
    Then the operator is refused with "unauthorized"
    And neither the refusal nor the log of the node has the key "<key>"

    Examples:
      | key         |
      | wrong-key   |
      | old-key-and |

  Scenario: A query of the time line reaches the node whole
    When an operator asks for the node time line of request "a/b c?&é" after 12.5 ms and 3
    Then the node was asked for request "a/b c?&é" after 12.5 ms and 3

  Scenario: A request is explained by its events
    When an operator asks the node to explain request "a/b c?&é"
    Then the explanation is of request "a/b c?&é"

  Scenario: A node that does not answer is named
    Given the node accepts connections and never answers operators
    When an operator asks for the node status and 2000 ms pass
    Then the operator is refused with "link-unopened"
    And the refusal names the node

  Scenario: A reply that is no status is refused
    Given the node answers operators with "{\"nodeName\":1}"
    When an operator with the key "old-key" asks for the node status
    Then the operator is refused with "frame-invalid"
