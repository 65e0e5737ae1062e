@manyRoutes
Feature: The cost of a call does not depend on the number of routes

  # Guards against calls that wait for a search through all routes of their host.
  Scenario Outline: The route of a call is found without looking at the other routes
    Given a configuration of 4000 routes on <hosts> hosts
    When the route of a path <is> is looked up
    Then <found> is found
    And under 20 routes were looked at

    Examples:
      | hosts | is                      | found                              |
      | 1     | under one of them       | the route with the longest prefix  |
      | 5     | under one of them       | the route with the longest prefix  |
      | 1     | under none of them      | no route                           |

  # Guards against a call with stages that looks at all routes for the priorities of others.
  Scenario: A call with stages is admitted without looking at the other routes
    Given a configuration of 4000 routes on 1 hosts
    When a call with stages asks to be admitted
    Then under 20 routes were looked at

  # Guards against a route table whose index finds another route than the list says.
  Scenario: The route that is found is the first one of the longest prefix in the list
    Then for 300 random configurations each lookup finds what a search of the list finds
