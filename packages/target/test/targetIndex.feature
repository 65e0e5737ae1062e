@target @scale
Feature: Indexes of the target directory
  Targets are found by service and address without a visit of all others.

  # Guards against targets that are missing, listed twice or in another order after changes.
  Scenario: Lookups return what a scan of all targets returns
    Then over 300 random sequences of changes lookups equal a scan of all targets
