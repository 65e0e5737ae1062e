@callerLimits
Feature: Limits for callers that keep none

  # Guards against bodies that wait for each other for ever: the oldest large one may always go on.
  Scenario: Large bodies share the memory, and the oldest one can end
    Given memory for bodies of 8000000 bytes, and 2000000 bytes kept for small ones
    When 10 bodies of up to 4194304 bytes arrive in parts of 65536 bytes
    Then the first one is read to its end
    And the memory in use stays under 8000000 bytes

  # Guards against a small body that is refused because large ones have taken all memory.
  Scenario: A small body is read although large ones wait
    Given memory for bodies of 8000000 bytes, and 2000000 bytes kept for small ones
    When 10 bodies of up to 4194304 bytes arrive in parts of 65536 bytes
    And a body of 1000 bytes arrives
    Then it may be read on

  # Guards against bodies that stop short of their end and keep the memory of others.
  Scenario: A body that has stopped gives way to one that waits
    Given memory for bodies of 5000000 bytes, and 500000 bytes kept for small ones
    When a body of up to 4194304 bytes stops after 4000000 bytes
    And a body of up to 4194304 bytes stops after 900000 bytes
    And 1100 ms pass for the bodies
    Then the first body was closed with "no-memory"

  # Guards against a slow caller that is closed although nobody needs its memory.
  Scenario: A body that has stopped is kept while no other waits, until its deadline
    Given memory for bodies of 5000000 bytes, and 500000 bytes kept for small ones
    When a body of up to 4194304 bytes stops after 4000000 bytes
    And 3000 ms pass for the bodies
    Then no body was closed
    When 5000 ms pass for the bodies
    Then the first body was closed with "too-slow"

  # Guards against bodies that all wait, where none of them has stopped.
  Scenario: When even the oldest body has to wait, the largest other one gives way
    Given memory for bodies of 5000000 bytes, and 500000 bytes kept for small ones
    When 10 bodies of up to 4194304 bytes arrive in parts of 65536 bytes
    And 1100 ms pass for the bodies
    Then a body other than the first was closed, and the first may be read on

  # Guards against a buffer object for each byte, and against bytes that are lost where chunks are copied.
  Scenario Outline: A body in <count> chunks of <bytes> bytes is whole and takes little more than its bytes
    When <count> chunks of <bytes> bytes are collected
    Then the body is whole, and took at most <held> bytes

    Examples:
      | count | bytes | held    |
      | 1     | 10    | 1000    |
      | 60000 | 1     | 65536   |
      | 64    | 65536 | 4194304 |
      | 3     | 20000 | 65536   |

  # Guards against the end of a legitimate body in chunks of 64 bytes, and against floods of single bytes.
  Scenario Outline: A body of <chunks> chunks with <bytes> bytes has too many: <tooMany>
    Then <chunks> chunks with <bytes> bytes are too many: <tooMany>

    Examples:
      | chunks | bytes   | tooMany |
      | 65536  | 65536   | no      |
      | 70000  | 70000   | yes     |
      | 70000  | 4480000 | no      |

  # Guards against the closing of callers that read, before those that take the most.
  Scenario: Room for connections and answers is made by those that cost the least
    Given connections that are idle since 5, 3 and 9 ms, one that runs a request, and one that receives a body
    Then the one that is idle since 3 ms makes room
    And without idle ones, the one that receives a body makes room
    And with answers of 10, 70 and 30 bytes unread and a limit of 60 bytes, the one with 70 bytes is closed

  # Guards against callers that send ahead and keep all others at a refusal, and against closing an ordinary one.
  Scenario: Room for requests is made by the connection with the most of them
    Then of connections with 1, 8 and 3 requests, the one with 8 is closed
    And of connections with 1 and 1 requests, none is closed

  # Guards against limits that an ordinary caller meets on the default machine.
  Scenario: The default machine has room for ordinary callers
    Then the default machine has memory for 8 bodies of the largest size and room for 900 connections and requests
