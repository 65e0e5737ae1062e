@router
Feature: Duties of a router

  # Guards against calls to the store for duties that no deployment has asked for.
  Scenario Outline: Without a provider or a duty in the settings nothing runs
    Given settings with the provider "<address>" and the duties "<duties>"
    Then the router has no duties

    Examples:
      | address         | duties |
      |                 | usage  |
      | 10.200.1.9:8640 |        |

  # Guards against a change of the holder that operators can't see.
  Scenario: A router that takes and releases a duty says so
    Given settings with the provider "10.200.1.9:8640" and the duties "usage"
    When the router is the only live one
    Then it holds the duty "usage", and no other
    When the router releases its duties
    Then its lines on duties are "taken, released", each with the token
    And it has counted the changes "taken, released"
