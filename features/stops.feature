@features
Feature: Stops of entries and gates
  A node that gets SIGTERM ends its process at its stop limit. Each call that it has read has an answer by then.

  Background:
    Given nodes with a stop limit of 1500 ms and targets that run 1 request at a time
    And an entry, a gate and fake targets with the rules "examples/lautoka.rules"

  # Guards against a call that runs at the stop limit and whose connection is closed without an answer.
  Scenario: A call that a stopping entry cannot wait for is answered before the stop limit
    Given every engine hangs
    When 1 call of route "lap-schedule" is running
    And the entry is stopped
    Then each call is answered within 1500 ms with 504, code 2012 and outcome "may-have-run"

  # Guards against a call whose body is incomplete at the stop limit and whose connection is closed without an answer.
  Scenario: A call whose body is incomplete when its entry stops is refused
    When a caller has sent half of a call of route "lap-schedule"
    And the entry is stopped
    Then each call is answered within 1500 ms with 503, code 2009 and outcome "not-run"
    And the last answer says to retry after 1 s

  # Guards against refusals of a stopping entry that do not say when to retry, on connections that then close.
  Scenario: A call that arrives at a stopping entry is refused at once
    When the entry is stopped
    And a call of route "lap-schedule" is sent
    Then each call is answered within 500 ms with 503, code 2009 and outcome "not-run"
    And the last answer says to retry after 1 s
    And the last answer closes its connection

  # Guards against calls that wait in the queue of a stopping gate until its links are cut.
  Scenario: A stopping gate hands its queue back at once
    Given every engine hangs
    When 2 calls of route "lap-schedule" are running
    And a call of route "lap-schedule" is sent
    And the gate is stopped once it has read them
    Then the last call is answered within 500 ms with 503, code 2008 and outcome "not-run"
    And the last answer says to retry after 1 s
    And the calls before it are answered within 1500 ms with 504, code 2012 and outcome "may-have-run"

  # Guards against links that are opened to a gate at the end of its stop and keep its process running.
  Scenario: A gate ends its stop although entries open new links
    Given the run records of the gate take 400 ms to end
    When the gate is stopped
    Then the gate has stopped within 1500 ms
