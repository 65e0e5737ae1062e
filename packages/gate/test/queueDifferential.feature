Feature: Comparison of the queue policies on one target in virtual time
  Each load runs for 20 s on a target that completes 40 requests of 100 ms a second, four at once.
  Requests have 500 ms until their deadline, batch requests 5 s. Run times are uniformly distributed
  within the given percentage.

  Scenario Outline: Share of requests answered in time under load
    Given a load of "<load>" requests a second with run times that vary by <varies> percent
    Then with the deadline policy at least <deadline> percent of "<organisation>" are answered in time
    And with the naive policy at most <naive> percent of "<organisation>" are answered in time

    Examples: a load within capacity is served by both policies
      | load        | varies | organisation | deadline | naive |
      | a 20, b 8   | 0      | b            | 100      | 100   |
      | a 20, b 8   | 50     | a            | 100      | 100   |
      | a 30, b 10  | 50     | b            | 99       | 98    |

    Examples: at twice the capacity, as much as the target can run is answered
      | load        | varies | organisation | deadline | naive |
      | a 40, b 40  | 0      | a            | 49       | 10    |
      | a 40, b 40  | 50     | b            | 49       | 15    |
      | a 40, b 40  | 90     | b            | 48       | 35    |

    Examples: a flood from one organisation does not affect others
      | load                 | varies | organisation | deadline | naive |
      | flood 200, quiet 5   | 0      | quiet        | 99       | 5     |
      | flood 200, quiet 5   | 50     | quiet        | 99       | 5     |
      | flood 200, quiet 5   | 90     | quiet        | 99       | 10    |

    Examples: interactive work goes first, batch keeps its share
      | load               | varies | organisation | deadline | naive |
      | day 60, batch 20   | 50     | day          | 57       | 10    |
      | day 60, batch 20   | 50     | batch        | 19       | 100   |

  Scenario: Few runs are cut off at their deadline when run times vary
    Given a load of "a 40, b 40" requests a second with run times that vary by 50 percent
    Then with the deadline policy at most 1 percent are cut off at their deadline
    And with the naive policy at least 80 percent are cut off at their deadline

  Scenario: Refusals end when a slow target recovers
    Given a load of "a 20, b 8" requests a second with run times that vary by 50 percent
    And runs that take 8 times as long from 5 s to 8 s
    Then with the deadline policy all that arrive after 10 s are answered in time
