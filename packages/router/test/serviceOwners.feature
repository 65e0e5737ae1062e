@router
Feature: Each stage service is owned by one router

  # Guards against a stage service of the whole fleet on a host that has a fraction of the CPU of others.
  Scenario: Only routers with much CPU own services
    Given routers "small-1,small-2,small-3" with 0.25 cores and "large-1,large-2" with 1.4 cores
    Then each of 100 services has one owner, the same for every router
    And the owners are "large-1,large-2"

  Scenario: Routers with the same CPU share the services
    Given routers "a-1,a-2,a-3" with 0.5 cores and "b-1" with 0.6 cores
    Then each of 100 services has one owner, the same for every router
    And the owners are "a-1,a-2,a-3,b-1"

  # Guards against pieces that are made twice and workers that are found full, since no router owned a service in a series of stops.
  Scenario: Routers that are leaving own no service while others stay
    Given routers "a-1,a-2" with 0.5 cores and "b-1,b-2" with 0.5 cores
    When "a-1,b-2" begin to leave
    Then each of 100 services has one owner, the same for every router
    And the owners are "a-2,b-1"

  Scenario: The router that began to leave last owns all services when all are leaving
    Given routers "a-1,a-2" with 0.5 cores and "b-1,b-2" with 0.5 cores
    When "a-1,b-2,b-1,a-2" begin to leave
    Then each of 100 services has one owner, the same for every router
    And the owners are "a-2"
