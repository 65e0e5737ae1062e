Feature: Queue of stage requests for one target

  Scenario: Neither of two waiting organisations gets ahead of its share
    Given any arrivals at the fair queue from weighted organisations
    Then the weighted work of any two that both wait differs by at most one request of each

  Scenario: A flooding organisation does not delay another beyond its share
    Given 200 requests of 100 ms from "flood" in the queue
    When "quiet" sends 3 requests of 100 ms
    Then in the fair queue the last request of "quiet" waits for 300 ms of work from others
    But in the naive queue the last request of "quiet" waits for 20000 ms of work from others

  Scenario: An organisation earns no credit while it is idle
    Given "busy" has run 50 requests of 100 ms alone in the fair queue
    When "away" and "busy" both send 20 requests of 100 ms
    Then the fair queue runs at most 11 requests of "away" in the next 20

  Scenario: Batch gets its minimum share during a flood of interactive work
    Given any costs of 200 interactive and 20 batch requests in the fair queue
    Then batch has its minimum share of the work, less at most one request of each class
    And batch has no more than its minimum share while interactive requests wait

  Scenario: Within an organisation the earliest deadline goes first
    Given any deadlines of the requests of one organisation in the fair queue
    Then the fair queue runs them by deadline, and by arrival where deadlines are equal

  Scenario Outline: No request is lost or duplicated in a queue
    Given any pushes, takes, removals, expiries and overflows at the "<policy>" queue
    Then each request leaves the queue once and the size is always right

    Examples:
      | policy   |
      | deadline |
      | naive    |

  Scenario: The requests ahead are those that run first when no other request arrives
    Given any arrivals at the fair queue from weighted organisations
    Then the requests ahead of a new one are those taken before it

  Scenario: A full queue drops the latest deadline of the organisation furthest over its share
    Given a fair queue with these requests
      | organisation | weight | priority    | deadline | cost |
      | large        | 4      | interactive | 900      | 300  |
      | small        | 1      | interactive | 500      | 100  |
      | small        | 1      | interactive | 700      | 50   |
    Then shedding to 2 requests drops that of "small" with the deadline 700

  Scenario: Batch requests of an organisation are dropped before its interactive ones
    Given a fair queue with these requests
      | organisation | weight | priority    | deadline | cost |
      | large        | 1      | interactive | 900      | 300  |
      | large        | 1      | batch       | 700      | 300  |
    Then shedding to 1 requests drops that of "large" with the deadline 700

  Scenario: Requests that cannot finish in time leave the queue before they run
    Given a fair queue with these requests
      | organisation | weight | priority    | deadline | cost |
      | large        | 1      | interactive | 900      | 300  |
      | large        | 1      | batch       | 500      | 100  |
    Then at 401 ms the request with the deadline 500 expires

  Scenario: A request that may well be late is removed while a safer one waits
    Given a fair queue with these requests
      | organisation | weight | priority    | deadline | cost | margin |
      | large        | 1      | interactive | 500      | 100  | 50     |
      | large        | 1      | interactive | 900      | 100  | 50     |
    Then at 351 ms the request with the deadline 500 expires
    And at 801 ms the request with the deadline 900 expires

  Scenario: A safe batch request is no reason to drop an interactive one
    Given a fair queue with these requests
      | organisation | weight | priority    | deadline | cost | margin |
      | large        | 1      | interactive | 500      | 100  | 50     |
      | large        | 1      | batch       | 9000     | 100  | 50     |
    Then at 401 ms the request with the deadline 500 expires
