@store
Feature: Lease holder
  A holder stops acting before another one can acquire the lease.

  Scenario: Only one of two holders acquires the lease
    Given the lease holders "A" and "B" of a lease of 10 s
    When 30000 ms pass at the lease holders
    Then 1 lease holder may act

  Scenario: A holder that resumes after a pause no longer has the lease
    Given the lease holders "A" and "B" of a lease of 10 s
    When 30000 ms pass at the lease holders
    And the lease holder that may act is paused
    And 30000 ms pass at the lease holders
    Then only the other lease holder may act
    And its fencing number is higher

  Scenario: A holder stops acting on its own during a store outage
    Given the lease holders "A" and "B" of a lease of 10 s
    When 30000 ms pass at the lease holders
    And the store of the leases has an outage
    And 7600 ms pass at the lease holders
    Then 0 lease holders may act

  Scenario: With a slow response the lease time counts from when the request was sent
    Given the lease holders "A" and "B" of a lease of 10 s
    When 30000 ms pass at the lease holders
    Then no lease holder ever acts without the lease key while responses are delayed by 900 ms
    When the lease holder that may act is paused while a response is in transit
    Then no lease holder ever acts without the lease key while responses are delayed by 900 ms

  Scenario: The holder stops when the lease expires at the store
    Given the lease holders "A" and "B" of a lease of 10 s
    When 30000 ms pass at the lease holders
    And the leases expire at the store
    And 2600 ms pass at the lease holders
    Then every lease holder that may act owns the lease key
    When 30000 ms pass at the lease holders
    Then 1 lease holder may act
    And every lease holder that may act owns the lease key
