Feature: The order of work when capacity is short
  Work that can be on time goes first, by priority, begun requests and deadline. When not all of it can
  be on time, some of it is delayed at once.

  # Guards against a rule that is missing from the order, or applied before a more important one.
  Scenario Outline: <rule>
    Given this waiting work, which takes 100 ms each
      | name | priority, begun, latest start, remaining work, exempt from size |
      | a    | <a>                                                             |
      | b    | <b>                                                             |
    Then it is taken in the order "<order>"

    Examples:
      | rule                                                     | a                   | b                   | order |
      | Work that can be on time goes before urgent work that can't | 0, no, -1, 100, no  | 1, no, 500, 100, no | b a   |
      | Urgent priorities go first                                  | 1, no, 200, 100, no | 0, no, 500, 100, no | b a   |
      | Begun requests go before new ones                           | 0, no, 200, 100, no | 0, yes, 500, 100, no | b a  |
      | The earliest deadline goes first                            | 0, no, 500, 900, no | 0, no, 200, 100, no | b a   |
      | Of two that can't both be on time, the smaller one goes first | 0, no, 20, 900, no | 0, no, 50, 100, no | b a   |
      | Half of the requests are exempt from the choice by size     | 0, no, 20, 900, yes | 0, no, 50, 100, no  | a b   |
      | Late work is ordered by the work that remains               | 0, no, -9, 900, no  | 0, no, -1, 100, no  | b a   |

  # Guards against a queue that serves its oldest requests first in an overload, so that all are a little late.
  # Without a choice by size, 71 of 100 would be on time.
  Scenario: Most requests are on time in an overload
    Given requests at 1.4 times the capacity for 60 s, with sizes of 1 to 19 ms
    Then at least 75 of 100 requests are on time

  # Guards against the choice of the smallest work only, which never serves the large requests.
  Scenario: The largest requests are not starved in an overload
    Given requests at 1.4 times the capacity for 60 s, with sizes of 1 to 19 ms
    Then the largest tenth is on time at least half as often as all

  # Guards against an organisation that takes the capacity of the others by sending more.
  Scenario: An organisation that sends too much is delayed, and the others are not
    Given requests at 0.5 times the capacity for 60 s, with sizes of 1 to 19 ms
    And an organisation that sends 2 times the capacity besides
    Then at least 97 of 100 requests of the others are on time
    And its own requests are on time at least a quarter as often as all

  # Guards against urgent requests that are served less often than less urgent ones.
  Scenario: Less urgent requests give way to urgent ones
    Given requests at 0.9 times the capacity for 60 s, with sizes of 1 to 19 ms
    And less urgent requests at 0.9 times the capacity besides
    Then at least 97 of 100 urgent requests are on time
