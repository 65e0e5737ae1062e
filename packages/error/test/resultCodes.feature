@error
Feature: Result codes
  Scenario: The documented table matches the code
    When the documented table of result codes is read
    Then it has the same rows as the code

  Scenario: Numbers and names are unique
    Then no two result codes share a number or a name

  # Guards against a caller that repeats an at-most-once call, since a status promised that it has not run.
  Scenario: No status promises that a request has not run unless that is known
    Then errors of any code that may have run have none of the statuses 408, 421, 429 and 503
    And the status of a code is kept where its outcome is known to be not-run
