@error
Feature: Result codes
  Scenario: The documented table matches the code
    When the documented table of result codes is read
    Then it has the same rows as the code

  Scenario: Numbers and names are unique
    Then no two result codes share a number or a name
