Feature: Queue of the orders that wait for one target

  Scenario: Neither of two waiting organisations gets ahead of its share
    Given any arrivals at the stage queue from organisations with weights
    Then the work of any two that both wait differs by at most one order of each, by weight

  Scenario: A flooding organisation does not delay another beyond its share
    Given 200 orders of 100 ms from "flood" in the queue
    When "quiet" sends 3 orders of 100 ms
    Then in the stage queue the last order of "quiet" waits for 300 ms of others
    But in the naive queue the last order of "quiet" waits for 20000 ms of others

  Scenario: An organisation that was away earns no credit for it
    Given "busy" has run 50 orders of 100 ms alone in the stage queue
    When "away" and "busy" both send 20 orders of 100 ms
    Then the stage queue runs at most 11 orders of "away" in the next 20

  Scenario: Batch gets its least share while interactive work floods
    Given any costs of 200 interactive and 20 batch orders in the stage queue
    Then batch has its least share of the work, less one order of each class
    And batch has no more than its least share while interactive orders wait

  Scenario: Within an organisation the earliest deadline goes first
    Given any deadlines of the orders of one organisation in the stage queue
    Then the stage queue runs them by deadline, and by arrival where deadlines are equal

  Scenario Outline: No order is lost or doubled in a queue
    Given any pushes, takes, removals, expiries and overflows at the "<policy>" queue
    Then each order leaves the queue once and its size is always right

    Examples:
      | policy   |
      | deadline |
      | naive    |

  Scenario: The orders ahead are those that run first when no other comes
    Given any arrivals at the stage queue from organisations with weights
    Then the orders ahead of a new one are those that are taken before it

  Scenario: A full queue sheds the latest deadline of the organisation furthest over its share
    Given a stage queue with these orders
      | organisation | weight | priority    | deadline | cost |
      | large        | 4      | interactive | 900      | 300  |
      | small        | 1      | interactive | 500      | 100  |
      | small        | 1      | interactive | 700      | 50   |
    Then shedding to 2 orders gives up that of "small" with the deadline 700

  Scenario: Batch orders of an organisation give way before its interactive ones
    Given a stage queue with these orders
      | organisation | weight | priority    | deadline | cost |
      | large        | 1      | interactive | 900      | 300  |
      | large        | 1      | batch       | 700      | 300  |
    Then shedding to 1 orders gives up that of "large" with the deadline 700

  Scenario: Orders that can't be in time leave the queue before they run
    Given a stage queue with these orders
      | organisation | weight | priority    | deadline | cost |
      | large        | 1      | interactive | 900      | 300  |
      | large        | 1      | batch       | 500      | 100  |
    Then at 401 ms the order with the deadline 500 expires

  Scenario: An order that may easily be late gives way while a safer one waits
    Given a stage queue with these orders
      | organisation | weight | priority    | deadline | cost | margin |
      | large        | 1      | interactive | 500      | 100  | 50     |
      | large        | 1      | interactive | 900      | 100  | 50     |
    Then at 351 ms the order with the deadline 500 expires
    And at 801 ms the order with the deadline 900 expires

  Scenario: A safe batch order is no reason to give up an interactive one
    Given a stage queue with these orders
      | organisation | weight | priority    | deadline | cost | margin |
      | large        | 1      | interactive | 500      | 100  | 50     |
      | large        | 1      | batch       | 9000     | 100  | 50     |
    Then at 401 ms the order with the deadline 500 expires
