@pingTicker @scale
Feature: One timer for the pings of all links

  # Guards against a timer for each link, which wakes a router with hundreds of links all the time.
  Scenario: Links share a timer, and none is left without links
    Given 300 links whose pings share a ticker
    When 1000 ms have passed for the ticker
    Then each link was checked 5 times, and 6 timers were armed
    When the links have ended and 1000 ms have passed
    Then each link was checked 5 times, and 6 timers were armed
