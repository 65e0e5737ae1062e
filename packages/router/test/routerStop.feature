@router
Feature: A router that stops ends every call that it has read with an answer or a refusal

  # Guards against calls whose connection is closed without an answer at the end of a stop, since their stages took longer.
  Scenario: A call whose stages can't end before the router is refused, and is not sent to a target
    Given a router that is killed 8000 ms after it was asked to stop
    And stage workers that take 9000 ms for a piece
    When a "staged" call arrives, and the router is asked to stop 1000 ms later
    Then within 7200 ms of the stop the caller gets 503 with a time to retry
    And no target gets the call later

  Scenario: A call that can't end before the router is refused on arrival
    Given a router that is killed 8000 ms after it was asked to stop
    And pieces of stages took 6000 ms each until now
    When the router is asked to stop, and a "staged" call arrives 2000 ms later
    Then within 2100 ms of the stop the caller gets 503 with a time to retry

  # Guards against calls that are refused shortly before their stages end, although much time is left.
  Scenario: A call whose stage is about to end is not refused
    Given a router that is killed 8000 ms after it was asked to stop
    And stage workers that take 2000 ms for a piece
    And pieces of stages took 2000 ms each until now
    When the router is asked to stop, and a "staged" call arrives 1000 ms later
    Then within 5500 ms of the stop the caller gets the response of a target

  Scenario: A call that fits into the time left of a stop is served
    Given a router that is killed 8000 ms after it was asked to stop
    And stage workers that take 500 ms for a piece
    When the router is asked to stop, and a "staged" call arrives 2000 ms later
    Then within 3500 ms of the stop the caller gets the response of a target

  # Guards against a closed connection where a target may have run the call: its caller can't tell whether it was read.
  Scenario: A call that a target has not answered by the end of the stop is answered as one that may have run
    Given a router that is killed 8000 ms after it was asked to stop
    And targets that never respond
    When an "order" call arrives, and the router is asked to stop 1000 ms later
    Then within 7200 ms of the stop the caller gets 502

  # Guards against calls that a stop ends without a trace, or as if their callers had left.
  Scenario: Each call that a stop ends is reported with how far it had come
    Given a router that is killed 8000 ms after it was asked to stop
    And targets that never respond
    When an "order" call arrives, and the router is asked to stop 1000 ms later
    Then within 7200 ms of the stop the call is reported as "sent"

  # Guards against responses that are cut at the end of a stop, since the process ended before they were written.
  Scenario: The router ends after its responses are written
    Given a router that is killed 8000 ms after it was asked to stop
    And a connection that takes 200 ms to write a response
    When an "order" call arrives, and the router is asked to stop 1000 ms later
    Then the response is written before the router closes its connections

  # Guards against results that are thrown away and made again, since the router that made them for others had no calls left.
  Scenario: The router ends after its calls to stage workers
    Given a router that is killed 8000 ms after it was asked to stop
    And it has calls to stage workers that end 5000 ms after the stop
    When the router is asked to stop, and a "safe" call arrives 2000 ms later
    Then the router leaves the others between 5000 ms and 5100 ms after the stop

  # Guards against streams that are cut by a stop although their callers came long after it had begun.
  Scenario: Calls are no longer taken 3 s after the stop began
    Given a router that is killed 8000 ms after it was asked to stop
    When the router is asked to stop, and a "stream" call arrives 3000 ms later
    Then the call is not taken

  # Guards against calls that a stop takes although too little of its time is left to answer them, and cuts.
  Scenario Outline: Calls are taken only in the first part of a short stop, and all of them are answered
    Given a router that is killed <limit> ms after it was asked to stop
    And targets that never respond
    When the router is asked to stop, and an "order" call arrives <early> ms later
    Then within <answered> ms of the stop the caller gets 502

    Examples:
      | limit | early | answered |
      | 3000  | 1000  | 2530     |
      | 5000  | 1800  | 4210     |

  Scenario: A call that can't end within a very short stop is refused
    Given a router that is killed 1000 ms after it was asked to stop
    And targets that never respond
    When the router is asked to stop, and an "order" call arrives 300 ms later
    Then within 850 ms of the stop the caller gets 503 with a time to retry

  Scenario Outline: Calls that come late in a short stop are not taken
    Given a router that is killed <limit> ms after it was asked to stop
    When the router is asked to stop, and an "order" call arrives <late> ms later
    Then the call is not taken

    Examples:
      | limit | late |
      | 500   | 200  |
      | 1000  | 400  |
      | 3000  | 1200 |
      | 5000  | 2000 |

  # Guards against any way in which a stop ends a call without an answer, or refuses one that may have run as not run.
  Scenario: Whatever targets and stage workers do, each call that was read ends, and none that ran is refused as not run
    Then stops with random calls, slow stage workers and a store that is away keep to this with each seed from 1 to 50

  # Guards against calls that end without an answer because the owners of their stage services stop one after the other.
  Scenario: When all routers stop in a series, each call that was read ends, and none that ran is refused as not run
    Then series of stops of all routers keep to this with each seed from 1 to 50
