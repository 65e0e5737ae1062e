@caller
Feature: Invalid input from callers
  Every refusal has a result code, says that nothing ran, and affects no other call.

  Background:
    Given a server for callers that echoes prompts

  Scenario Outline: Refusals of malformed requests
    When a caller sends <request>
    Then the caller is refused with <status>, code <code> and outcome "not-run"
    And a valid call is still answered

    Examples:
      | request               | status | code |
      | malformed JSON        | 400    | 1001 |
      | an unknown field      | 400    | 1001 |
      | a wrong key           | 401    | 1003 |
      | no key                | 401    | 1003 |
      | a body over the limit | 413    | 1004 |
      | a negative deadline   | 400    | 1005 |
      | a huge deadline       | 400    | 1005 |
      | a textual deadline    | 400    | 1005 |
      | an unknown path       | 404    | 1008 |

  Scenario: A half-closed socket does not affect the server
    When a caller sends half a request and closes its side
    Then a valid call is still answered

  Scenario: A streamed response ends with its end marker
    When a caller asks for a stream of 3 parts
    Then the stream holds the 3 parts in order and ends with "[DONE]"

  # Guards against a stream that breaks off and looks complete, or that goes on with the text of an error.
  Scenario: A stream whose call fails holds its parts and an error event, and no end marker
    When a caller asks for a stream that fails after 2 parts
    Then the stream holds the 2 parts, then one error event, and no end marker

  Scenario: A caller that disconnects cancels its call
    When a caller disconnects in the middle of a call
    Then the call is cancelled

  # Guards against responses that are cut when the process ends before they have left it.
  Scenario: A call goes on until its response has left the process
    When a caller asks for a response of 8 MB and reads none of it
    Then the call is still in progress
    When the caller reads the response
    Then the caller has all 8 MB of it
    And no call is in progress

  # Guards against a response that looks complete to a caller of HTTP/1.0 when the entry is killed within it.
  Scenario Outline: A response that is not a stream has its length
    When a caller of HTTP/1.0 sends <request>
    Then the length of its response is that of the body

    Examples:
      | request        |
      | a valid call   |
      | malformed JSON |

  # Guards against a caller that repeats a call which may have run, since the status of the answer promises that it has not.
  Scenario Outline: The status of a refusal promises not-run only if the call has not run
    When a call is refused as "<name>" and <run>
    Then the caller is refused with <status>, code <code> and outcome "<outcome>"

    Examples:
      | name               | run          | status | code | outcome      |
      | overloaded         | may have run | 502    | 2004 | may-have-run |
      | retry-budget-spent | may have run | 502    | 2010 | may-have-run |
      | store-ambiguous    | may have run | 502    | 4002 | may-have-run |
      | organisation-limit | may have run | 502    | 2003 | may-have-run |
      | overloaded         | has not run  | 503    | 2004 | not-run      |
      | deadline-exceeded  | may have run | 504    | 2002 | may-have-run |

  # Guards against a call whose run throws and whose connection then stays open without an answer.
  Scenario: A call whose run throws is answered
    When a caller sends a call whose run throws
    Then the caller is refused with 500, code 9001 and outcome "may-have-run"
    And a valid call is still answered
