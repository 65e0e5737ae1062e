@features
Feature: The capacity page
  Scenario: The page has the figures that the script computes
    When the capacity table is computed again
    Then docs/CAPACITY.md has the same figures
