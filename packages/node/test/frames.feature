@node
Feature: Frames on a link between nodes

  Scenario: Frames survive any cut of the byte stream
    Then frames cut at random places are decoded whole and in order

  Scenario: No bytes make the decoder throw or hold more than one frame
    Then random bytes are decoded or refused with a numbered code within bounded memory

  Scenario: A frame over the limit is refused before it is held
    When a frame header announces 2000000 bytes
    Then the decoder refuses with "frame-too-large"

  Scenario: A body that is not CBOR is refused
    When a frame holds garbage
    Then the decoder refuses with "frame-invalid"

  Scenario Outline: A link is proved by a shared key
    Given a node port with keys "<server keys>"
    When a node opens a link with keys "<client keys>"
    Then the link is <state>

    Examples:
      | server keys | client keys | state   |
      | aa          | aa          | open    |
      | bb,aa       | aa          | open    |
      | aa          | bb,aa       | open    |
      | aa          | bb          | refused |

  Scenario: A stranger's bytes on the node port close only that connection
    Given a node port with keys "aa"
    When a stranger sends garbage to the node port
    And a stranger sends an oversized frame to the node port
    And a node opens a link with keys "aa"
    Then the strangers' connections are closed
    And the link is open
