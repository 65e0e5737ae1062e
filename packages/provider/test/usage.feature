@provider
Feature: Usage reports
  The holder fixes the counts of a window in the store before it sends them, so that no window is ever
  reported with two different counts. Window 0 is the one in which the routers start; windows last 5 s.

  Background:
    Given the routers "a", "b" and "c", of which "a" is the holder

  # Guards against counts of one router only, counts in the wrong window, and windows without requests left out.
  Scenario: Each window is reported once, with the counts of all routers
    When 6 requests of "shop" begin at "a" 1 ms before the end of window 0
    And 4 requests of "shop" begin at "b" 1 ms before the end of window 0
    And 7 requests of "shop" begin at "c" 1 ms after the end of window 0
    And 17 s have passed
    Then the accepted counts are
      | window | counts     |
      | 0      | {"shop":10} |
      | 1      | {"shop":7}  |
      | 2      | {}          |
    And each of these windows was sent once, at most 3 s after its end
    And the ledger was written once for each window

  # Guards against a new holder that sends its own counts for a window whose counts another had fixed.
  Scenario: The holder dies between fixing and sending
    When 3 requests of "shop" begin at "b" 1000 ms after the start of window 0
    And "c" has lost its links
    And 2 requests of "shop" begin at "c" 1000 ms after the start of window 0
    And the provider is "silent"
    And 10.5 s have passed
    And the provider is "up"
    And "c" has its links again
    And "a" dies and "b" becomes the holder
    And 4 s have passed
    Then window 0 was accepted with the counts {"shop":3}
    And the provider has seen no violation

  # Guards against a report that is sent with other counts because it seems not to have arrived.
  Scenario: The answer to a report is lost, and then the holder changes
    When 3 requests of "shop" begin at "b" 1000 ms after the start of window 0
    And the provider is "loses-answer"
    And 7.5 s have passed
    And the provider is "up"
    And "b" becomes the holder
    And 4 s have passed
    Then window 0 was accepted with the counts {"shop":3}
    And window 0 was received more than once
    And the provider has seen no violation

  # Guards against a late execution that brings other counts than those accepted meanwhile.
  Scenario: A report is executed late, after the holder has changed
    When 3 requests of "shop" begin at "b" 1000 ms after the start of window 0
    And the provider is "late"
    And 7.5 s have passed
    And the provider is "up"
    And "b" becomes the holder
    And 6 s have passed
    And the provider executes what came late
    Then window 0 was accepted with the counts {"shop":3}
    And the provider has seen no violation

  # Guards against a holder that goes on after a higher token was seen.
  Scenario: A holder that was replaced without noticing ends its holding when it is rejected
    When "b" becomes the holder and "a" does not notice
    And 3 requests of "shop" begin at "c" 1000 ms after the start of window 0
    And 13 s have passed
    Then "a" no longer holds the duty
    And window 0 was accepted with the counts {"shop":3}
    And the provider has seen no violation

  # Guards against two contents of a window when two routers write at the same time.
  Scenario: Two routers that take themselves for the holder fix a window at once
    When "b" becomes the holder and "a" does not notice
    And "c" reaches only "a"
    And 3 requests of "shop" begin at "c" 1000 ms after the start of window 0
    And 2 requests of "shop" begin at "b" 1000 ms after the start of window 0
    And 13 s have passed
    Then window 0 was accepted
    And the provider has seen no violation

  # Guards against sending counts that are not certainly fixed: the write may be executed later, or never.
  Scenario Outline: The end of the write that fixes a window is unknown
    When 3 requests of "shop" begin at "b" 1000 ms after the start of window 0
    And the store treats writes as "<mode>"
    And 6.05 s have passed
    Then the provider has received nothing
    When the store executes what came late
    And the store treats writes as "up"
    And 4 s have passed
    Then window 0 was accepted with the counts {"shop":3}

    Examples:
      | mode         |
      | loses-answer |
      | late         |

  # Guards against a retry storm, and against a backlog that delays the report of a new window.
  Scenario Outline: The provider is away for some windows
    When the provider is "<mode>"
    And 28.5 s have passed
    Then the provider has received at most 14 calls
    When the provider is "up"
    And 3.5 s have passed
    Then the first accepted window is 4
    And the windows 0 to 4 were accepted

    Examples:
      | mode   |
      | down   |
      | limits |

  # Guards against a report that comes late because the call before it takes long.
  Scenario: The provider takes long to answer
    When each call to the provider takes 2500 ms
    And 31.5 s have passed
    Then the windows 0 to 4 were accepted
    And each of these windows was sent once, at most 6 s after its end

  # Guards against requests that a jump of the wall clock puts into other windows.
  Scenario Outline: The wall clock of a counting router jumps
    When 7 s have passed
    And the wall clock of "b" is wrong by <jump> s
    And 3 requests of "shop" begin at "b" 1000 ms after the start of window 2
    And the wall clock of "b" is right again
    And 12 s have passed
    Then window 2 was accepted with the counts {"shop":3}

    Examples:
      | jump |
      | 3600 |
      | -12  |

  # Guards against the time before a suspension in place of the time after it.
  Scenario: The host of a counting router is suspended
    When 7 s have passed
    And the host of "b" was suspended for 20 s longer than the others
    Then the window at "b" is 4 windows ahead

  # Guards against a wall clock that was set right and is never followed.
  Scenario: A jump of the wall clock that remains is followed
    When 7 s have passed
    And the wall clock of "b" is wrong by 20 s
    And 29 s have passed
    Then the window at "b" is 0 windows ahead
    When 5 s have passed
    Then the window at "b" is 4 windows ahead

  # Guards against counts that die with their router although it had half a second to send them.
  Scenario: A counting router dies
    When 3 requests of "shop" begin at "c" 1000 ms after the start of window 0
    And 0.6 s have passed
    And "c" dies
    And 9 s have passed
    Then window 0 was accepted with the counts {"shop":3}

  # Guards against counts that die with the holder, and against a new holder that fixes before they have come again.
  Scenario: The holder dies before a window is fixed, and a router that was not its deputy follows
    When 3 requests of "shop" begin at "b" 1000 ms after the start of window 0
    And 2 requests of "shop" begin at "c" 1000 ms after the start of window 0
    And 5 s have passed
    And "a" dies and "c" becomes the holder
    And 6 s have passed
    Then window 0 was accepted with the counts {"shop":5}

  # Guards against a new holder that fixes a window that is nearly due before it has heard of any counts.
  Scenario: The holder dies while a window waits for the store
    When 3 requests of "shop" begin at "b" 1000 ms after the start of window 0
    And the store treats writes as "away"
    And 9.3 s have passed
    And 1 requests of "shop" begin at "b" 5400 ms after the start of window 1
    And 0.05 s have passed
    And the store treats writes as "up"
    And "a" dies and "c" becomes the holder
    And 4 s have passed
    Then window 0 was accepted with the counts {"shop":3}

  # Guards against counts that die with a router and the holder, although the deputy had them too.
  Scenario: A counting router dies, and then the holder
    When 3 requests of "shop" begin at "c" 1000 ms after the start of window 0
    And 0.6 s have passed
    And "c" dies
    And "a" dies and "b" becomes the holder
    And 9 s have passed
    Then window 0 was accepted with the counts {"shop":3}

  # Guards against counts of a new start that are taken for those of the start before.
  Scenario: A counting router restarts within a window
    When 3 requests of "shop" begin at "c" 1000 ms after the start of window 0
    And 0.6 s have passed
    And "c" restarts
    And 2 requests of "shop" begin at "c" 3000 ms after the start of window 0
    And 7 s have passed
    Then window 0 was accepted with the counts {"shop":5}

  # Guards against a report without the counts of a router that has no processor time.
  Scenario: The counts of a router come late
    When 3 requests of "shop" begin at "c" 1000 ms after the start of window 0
    And "c" has lost its links
    And 2 requests of "shop" begin at "c" 4000 ms after the start of window 0
    And 4.5 s have passed
    And "c" has its links again
    And 4 s have passed
    Then window 0 was accepted with the counts {"shop":5}

  # Guards against a window that is never reported since a router does not say that its counts are complete.
  Scenario: The counts of a router never come
    When "c" has lost its links
    And 3 requests of "shop" begin at "b" 1000 ms after the start of window 0
    And 14 s have passed
    Then window 0 was accepted with the counts {"shop":3}
    And each of these windows was sent once, at most 6 s after its end

  # Guards against a window that is fixed anew since a restored store lacks what was fixed and sent.
  Scenario: The store is restored from an older copy, and another router becomes the holder
    When the store takes a copy
    And "c" has lost its links
    And 3 requests of "shop" begin at "b" 1000 ms after the start of window 0
    And 2 requests of "shop" begin at "c" 1000 ms after the start of window 0
    And 11 s have passed
    And the store of the ledger is restored from the copy
    And "c" has its links again
    And "a" dies and "b" becomes the holder
    And 22 s have passed
    Then window 0 was accepted with the counts {"shop":3}
    And the provider has seen no violation
    And window 4 was accepted
    And "b" has left out window 0

  # Guards against windows that nobody reports since the restored store lacks them, though the holder knows them.
  Scenario: The store is restored from an older copy before the holder has sent what it had fixed
    When the store takes a copy
    And the provider is "down"
    And 3 requests of "shop" begin at "b" 1000 ms after the start of window 0
    And 8 s have passed
    And the store of the ledger is restored from the copy
    And 1.5 s have passed
    And the provider is "up"
    And 16 s have passed
    Then window 0 was accepted with the counts {"shop":3}
    And window 2 was accepted
    And the provider has seen no violation

  # Guards against any order of these failures in which two counts of a window are accepted.
  Scenario: Random orders of failures
    When routers, store and provider fail in 100 random orders
    Then never were two different counts accepted for a window
