@operator
@operator-request
Feature: Operator requests to nodes
  A node responds only to requests that carry one of its operator keys.

  Background:
    Given a node with the operator keys "old-key" and "new-key"

  Scenario Outline: Each valid key can read the status
    When an operator with the key "<key>" requests the node status
    Then the received status equals the status of the node

    Examples:
      | key     |
      | old-key |
      | new-key |

  Scenario Outline: A wrong key is rejected and appears neither in the response nor in the log
    When an operator with the key "<key>" requests the node status
    Then the operator request fails with "unauthorized"
    And neither the error nor the log of the node contains the key "<key>"

    Examples:
      | key         |
      | wrong-key   |
      | old-key-and |

  Scenario: A timeline query reaches the node unchanged
    When an operator queries the node timeline for request "a/b c?&é" after timestamp 12.5 ms, counter 3
    Then the node received a query for request "a/b c?&é" after timestamp 12.5 ms, counter 3

  Scenario: An explanation is returned for the given request
    When an operator asks the node to explain request "a/b c?&é"
    Then the explanation is for request "a/b c?&é"

  Scenario: The error for a node that does not respond names the node
    Given the node accepts connections but never responds to operators
    When an operator requests the node status and 2000 ms pass
    Then the operator request fails with "link-unopened"
    And the error names the node and the time limit of 2000 ms

  Scenario: A response that is not a valid status is rejected
    Given the node responds to operators with "{\"nodeName\":1}"
    When an operator with the key "old-key" requests the node status
    Then the operator request fails with "frame-invalid"
