@entry
Feature: Version moves
  A sequential test compares the new version with the old one on each route.

  Scenario Outline: A bad version is stopped after a few runs
    When a new version whose runs <how> gets 5 percent of the traffic
    Then it is stopped after at most <runs> bad runs, and it got at most 8 percent of the traffic
    And it gets no traffic after it was stopped

    Examples:
      | how      | runs |
      | fail     | 40   |
      | are slow | 40   |

  Scenario: A version that turns bad after it was proved is detected too
    When a new version turns bad after 2000 good runs
    Then it is stopped after at most 40 bad runs

  Scenario: A version that is bad on one route only is stopped
    When a new version is bad on one of 3 routes
    Then it is stopped after at most 40 bad runs

  Scenario: No good version is stopped
    Then in 100 seeded runs of 5000 requests no version with 1 percent of failures is stopped

  Scenario: A good version gets all traffic before the set time
    When a good version runs until 95 percent of the time has passed
    Then its share is 100 percent

  # Guards against a bad or unproved version that counts as the old one, once the next one is rolled out.
  Scenario Outline: A version that an earlier move left gets no traffic from the next move
    When a move to "v2" <ended>, and the next one is from "v1" to "v3"
    Then the next one sends nothing to "v2", and runs on "v1" and "v3"
    And "v3" is stopped after at most 40 bad runs, although "v2" fails too

    Examples:
      | ended                             |
      | was stopped for failing           |
      | was replaced before it was proved |

  Scenario: Entries notify each other of bad versions
    When one entry finds a version bad and notifies another
    Then the other sends it no traffic

  # Guards against a version that is judged to be good because the runs that speak against it aren't counted.
  Scenario Outline: A version whose callers wait for nothing is stopped
    When stages run while the new version <how>
    Then it is stopped after at most <runs> bad runs

    Examples:
      | how                                       | runs |
      | loses every caller                        | 20   |
      | loses every third caller                  | 100  |
      | sends its first token five times as late  | 40   |

  # Guards against a good version that is stopped because of callers who would have left anyway.
  Scenario Outline: A new version that loses as many callers as the old one is not stopped
    Then in 100 seeded runs of 5000 requests no version is stopped when <percent> percent of all callers leave

    Examples:
      | percent |
      | 1       |
      | 10      |
      | 30      |
