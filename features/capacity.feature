@features
Feature: The capacity page
  Scenario: The page holds what the script works out from the slopes
    When the capacity table is worked out anew
    Then docs CAPACITY.md holds the same figures
