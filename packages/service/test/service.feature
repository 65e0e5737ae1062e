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
