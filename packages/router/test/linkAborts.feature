@router
Feature: Signals of a call that abort together

  # Guards against a call that goes on after its caller has left, or after its deadline.
  Scenario Outline: A linked signal aborts with each of its signals
    Given a signal that is linked to 2 others
    When other <number> aborts
    Then the linked signal has aborted

    Examples:
      | number |
      | 1      |
      | 2      |

  # Guards against calls that stay in memory, as listeners of a signal that lives longer than they do.
  Scenario: A released signal listens to none of its signals
    Given a signal that is linked to 2 others
    When it is released
    Then the others have 0 listeners

  # Guards against a call that begins although its caller has already left.
  Scenario: A signal that is linked to an aborted one has aborted
    Given 2 signals, of which other 2 aborts
    When a signal is linked to them
    Then the linked signal has aborted
