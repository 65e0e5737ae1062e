@router
Feature: Links to other routers

  # Guards against links that go on after their router has ended: its process, or that of a test, never exits.
  Scenario Outline: Links end with the router when the other one <state>
    Given a router with a link to one that <state>
    When the router ends and learns of another router
    Then it has no link task left

    Examples:
      | state              |
      | accepts            |
      | refuses            |
      | is being connected |
