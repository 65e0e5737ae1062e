@router @limitedCallers
Feature: Log lines on callers that met a limit

  # Guards against a flood of lines that displaces those on other decisions.
  Scenario: Many limits within a second share a line
    Given a log of limited callers
    When 500 connections meet "unread" and 2 meet "heads" within 800 ms
    And 1500 ms pass for their log
    Then there is one line, with "unread 500" and "heads 2"
