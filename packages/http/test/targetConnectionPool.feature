@connections
Feature: Connections to targets prove what they can

  Scenario: A connection is used again for the next request
    Given a raw target that answers "whole"
    When 3 requests are sent one after the other
    Then each is answered
    And 1 connection was opened

  Scenario: A target without a listener was sent nothing
    Given a raw target that has no listener
    When 1 request is sent
    Then it ends as "unsent"

  Scenario: A target that closes without an answer may have run the request
    Given a raw target that closes each connection after the request
    When 1 request is sent
    Then it ends as "broken"

  Scenario: A body without length that ends with its connection is whole
    Given a raw target that answers without length and closes
    When 1 request is sent
    Then each is answered

  Scenario: A body without length that is reset is not whole
    Given a raw target that answers without length and resets
    When 1 request is sent
    Then its body breaks off

  Scenario: A body shorter than its length is not whole
    Given a raw target that answers with too few bytes
    When 1 request is sent
    Then its body breaks off

  Scenario: Bytes after an answer end the connection
    Given a raw target that sends a second answer after each
    When 2 requests are sent one after the other
    Then each is answered
    And 2 connections were opened
