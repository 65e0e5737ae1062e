@connections
Feature: Connections to targets tell whether a request may have run

  Scenario: A connection is reused for the next request
    Given a raw target that responds "whole"
    When 3 requests are sent one after the other
    Then each gets a complete response
    And 1 connection was opened

  Scenario: A request to a target without a listener was not sent
    Given a raw target that has no listener
    When 1 request is sent
    Then it ends as "unsent"

  # Guards against a call that ends without an answer because its target's address makes a socket function throw.
  Scenario Outline: A request to an address that is none was not sent
    Given a raw target that has no listener
    When 1 request is sent to "<address>"
    Then it ends as "unsent"

    Examples:
      | address            |
      | 127.0.0.1:0        |
      | 127.0.0.1:65536    |
      | 127.0.0.1:99999999 |
      | 127.0.0.1          |
      | 127.0.0.1:http     |
      | 127.0.0.1:80/path  |
      | a b:80             |
      | :80                |

  Scenario: A target that closes without a response may have run the request
    Given a raw target that closes each connection after the request
    When 1 request is sent
    Then it ends as "broken"

  Scenario: A body without length that ends with its connection is complete
    Given a raw target that responds without length and closes
    When 1 request is sent
    Then each gets a complete response

  Scenario: A body without length that is reset is incomplete
    Given a raw target that responds without length and resets
    When 1 request is sent
    Then its body is interrupted

  # Guards against a body that is taken as complete because its coding was taken for chunks.
  Scenario: A body in another coding than chunks that is reset is incomplete
    Given a raw target that responds in the identity coding and resets
    When 1 request is sent
    Then its body is interrupted

  # Guards against a response that fails because a body was expected where there is none by definition.
  Scenario Outline: A response without a body by definition is complete
    Given a raw target that responds with <status> and no length
    When 2 <method> requests are sent one after the other
    Then each gets a complete response without a body

    Examples:
      | method | status |
      | HEAD   | 200    |
      | GET    | 204    |
      | GET    | 304    |

  Scenario: A body shorter than its length is incomplete
    Given a raw target that responds with too few bytes
    When 1 request is sent
    Then its body is interrupted

  Scenario: Bytes after a response close the connection
    Given a raw target that sends a second response after each
    When 2 requests are sent one after the other
    Then each gets a complete response
    And 2 connections were opened

  # Guards against a faulty target that fills memory with bytes that are no answer and never end.
  Scenario Outline: Bytes without end close the connection
    Given a raw target that sends a <part> without end
    When 1 request is sent and read up to 100000 bytes
    Then no complete response comes and the connection is closed

    Examples:
      | part                    |
      | head                    |
      | status line             |
      | row of headers          |
      | row of informational heads |
      | body                    |
      | body with a length      |
      | body in chunks          |
      | chunk extension         |
      | row of trailers         |

  # Guards against a client of the native front that reads such bytes until the deadline of its request.
  Scenario Outline: A plain request is not answered by bytes without end
    Given a raw target that sends a <part> without end
    When 1 plain request is sent
    Then no complete response comes and the connection is closed

    Examples:
      | part                       |
      | head                       |
      | status line                |
      | row of headers             |
      | row of informational heads |
      | chunk extension            |
      | row of trailers            |

  # Guards against a number in a service's answer that is cut and still valid JSON.
  Scenario Outline: A plain request is not answered by a body that is reset
    Given a raw target that <responds> and resets
    When 1 plain request is sent
    Then no complete response comes and the connection is closed

    Examples:
      | responds                        |
      | responds without length         |
      | responds in the identity coding |

  Scenario: A plain request is answered by a body that ends with its connection
    Given a raw target that responds without length and closes
    When 2 plain requests are sent one after the other
    Then each gets a complete response
    And the target has had 2 connections

  Scenario: The connection of a plain request is reused for the next one
    Given a raw target that responds "whole"
    When 3 plain requests are sent one after the other
    Then each gets a complete response
    And the target has had 1 connection

  # Guards against a connection that is closed because a slow reader leaves bytes of a body unread.
  Scenario: A body that is read slowly is not cut
    Given a raw target that responds with a body of 8000000 bytes
    When 1 request is sent and its body is read slowly
    Then the whole body has come
