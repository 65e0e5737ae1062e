@node
Feature: Frames on a link between nodes

  Scenario: Frames are decoded regardless of how the byte stream is split
    Then frames split at random places are decoded completely and in order

  Scenario: No input makes the decoder throw or buffer more than one frame
    Then random bytes are decoded or rejected with a result code within bounded memory

  # Guards against links that close while only some nodes know a field of a frame.
  Scenario: Crashes of a node that sends no evidence on prompts are decoded
    Then a crashes frame without evidence is decoded as one with none

  Scenario: A frame over the size limit is rejected before it is buffered
    When a frame header announces 2000000 bytes
    Then the decoder rejects it with "frame-too-large"

  Scenario: A body that is not CBOR is rejected
    When a frame contains garbage
    Then the decoder rejects it with "frame-invalid"

  Scenario Outline: A link is authenticated by a shared key
    Given a node port with keys "<server keys>"
    When a node opens a link with keys "<client keys>"
    Then the link is <state>

    Examples:
      | server keys | client keys | state   |
      | aa          | aa          | open    |
      | bb,aa       | aa          | open    |
      | aa          | bb,aa       | open    |
      | aa          | bb          | rejected |

  Scenario: Invalid bytes from an unauthenticated peer close only its connection
    Given a node port with keys "aa"
    When an unauthenticated peer sends garbage to the node port
    And an unauthenticated peer sends an oversized frame to the node port
    And a node opens a link with keys "aa"
    Then the connections of the unauthenticated peers are closed
    And the link is open
