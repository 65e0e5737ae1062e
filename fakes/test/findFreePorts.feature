Feature: Free ports for the listeners of a test

  # Guards against a router under test that gets one port for two listeners, and never starts.
  Scenario: Ports that are found together differ
    Then each of 500 times, 16 free ports differ
