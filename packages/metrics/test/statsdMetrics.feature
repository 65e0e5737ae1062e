@metrics
Feature: Metrics in statsd datagrams

  Scenario: Metrics arrive with their type and tags
    Given a statsd server on loopback
    When a node named "entry-1" sends a counter, a gauge and a duration
    Then the statsd server has received
      """
      galenatiller.stage.ended:2|c|#node:entry-1,role:entry,kind:generate,outcome:ran
      galenatiller.link.open:7|g|#node:entry-1,role:entry
      galenatiller.request.time:12.5|ms|#node:entry-1,role:entry,priority:batch
      """

  Scenario: Without an address nothing is sent
    When metrics without an address are sent and closed
    Then closing them does not wait for a socket

  Scenario: The documented metrics match the code
    When the documented table of metrics is read
    Then it has a row for each metric
