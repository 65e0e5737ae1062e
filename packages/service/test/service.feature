@service
Feature: Calls to a plain service
  A lost response is never taken for a call that did not run.

  Background:
    Given a fake service

  Scenario: A call is answered once
    When the service is called with key "k1" and body '{"reorder":"cerium"}'
    Then the service responds with the receipt of key "k1" and body '{"reorder":"cerium"}'
    And the service has the effects of keys "k1"

  Scenario: A call whose response is lost still has its effect
    Given the responses of the service are lost
    When the service is called with key "k1" and body '{"reorder":"cerium"}'
    Then the service call fails as "stream-broken" with outcome "may-have-run"
    And the service has the effects of keys "k1"

  Scenario: A refused call has no effect
    Given the service refuses
    When the service is called with key "k1" and body '{"reorder":"cerium"}'
    Then the service call fails as "target-refused" with outcome "not-run"
    And the service has the effects of keys ""

  # Guards against a call that has run and is called not run, because a refusal was written once more.
  Scenario: A refusal that is repeated on a kept connection is not the next call's
    Given a service that refuses its first call, and once more whatever follows on that connection
    When the service is called with key "k1" and body '{"reorder":"cerium"}'
    And the service is called with key "k2" and body '{"reorder":"cerium"}'
    And the service is called with key "k3" and body '{"reorder":"cerium"}'
    Then the service call succeeds

  # Guards against a number that is cut by the crash of its service and taken for the whole result.
  Scenario Outline: A number without framing is a result only if its service still runs
    Given a service that answers a number without framing, and then <after>
    When the service is called with key "k1" and body '{"reorder":"cerium"}'
    Then the service call <result>

    Examples:
      | after              | result                                                      |
      | runs on            | succeeds                                                    |
      | is gone            | fails as "stream-broken" with outcome "may-have-run"        |
      | is another process | fails as "stream-broken" with outcome "may-have-run"        |
      | falls silent       | fails as "stream-broken" with outcome "may-have-run"        |

  Scenario: A value that shows its own end needs no framing and no service that runs on
    Given a service that answers an object without framing, and then is gone
    When the service is called with key "k1" and body '{"reorder":"cerium"}'
    Then the service call succeeds
