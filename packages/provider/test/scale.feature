Feature: The number of workers of a service
  Workers have 4 slots each and start within 20 s; 2 to 20 of them may run in each of the zones "x" and "y",
  in which 4 run now.

  # Guards against workers that are ordered when the calls already wait.
  Scenario: A rising wave is met ahead of the time in which workers start
    Given 17 calls, and from second 100 on 0.3 more each second
    When second 160 has come
    Then the first order was given since demand was "rising"
    And the workers that had started had slots for all calls at each second

  # Guards against workers that start when the burst is over.
  Scenario: A burst that is shorter than the start of a worker is not followed
    Given 20 calls, and 60 calls from second 100 to second 112
    When second 160 has come
    Then nothing was ordered

  # Guards against a burst that lasts and is never followed.
  Scenario: Demand that lasts is followed
    Given 20 calls, and 60 calls from second 100 to second 200
    When second 130 has come
    Then the ordered workers have slots for the calls of second 125
    And 11 workers are ordered in "x", since "rising"

  # Guards against a service that has half of its workers and waits for the other half.
  Scenario: The other zones grow when a zone is lost
    Given 20 calls, and zone "y" is lost at second 100
    When second 105 has come
    Then 8 workers are ordered in "x", since "zone-lost"
    And nothing was ordered in "y"

  # Guards against workers that are drained between two waves, and against many at once.
  Scenario: Workers without need are drained one after the other
    Given 20 calls, and 0 calls from second 100 to second 900
    When second 155 has come
    Then nothing was ordered
    When second 170 has come
    Then at most 1 workers fewer are ordered in "x" than before
    When second 400 has come
    Then 2 workers are ordered in "x", since "idle"

  # Guards against a holder that acts on a few seconds of demand.
  Scenario: A new holder orders nothing until it has seen demand for the time in which workers start
    Given 60 calls
    When second 19 has come
    Then nothing was ordered

  # Guards against an order that is executed late, after a newer one.
  Scenario: An order without an answer is sent again with a higher token
    Given 60 calls
    And the answers of the provider are lost, and its calls executed late
    When second 24 has come
    And the provider answers again
    And second 84 has come
    And the provider executes the late orders
    Then the last number of workers that the provider has executed for each zone is the ordered one
    And no token was sent twice for a zone after its answer was lost
