@store
Feature: Lease holder
  A holder stops acting before the store can give its lease to another.

  Scenario: One of two holders has the lease
    Given the lease holders "A" and "B" of a lease of 10 s
    When 30000 ms pass at the lease holders
    Then 1 lease holder may act

  Scenario: A paused holder wakes up without the lease
    Given the lease holders "A" and "B" of a lease of 10 s
    When 30000 ms pass at the lease holders
    And the lease holder that may act is paused
    And 30000 ms pass at the lease holders
    Then only the other lease holder may act
    And its fencing number is higher

  Scenario: A holder stops by itself while the store is away
    Given the lease holders "A" and "B" of a lease of 10 s
    When 30000 ms pass at the lease holders
    And the store of the leases has an outage
    And 7600 ms pass at the lease holders
    Then 0 lease holders may act

  Scenario: A slow answer counts from when the request was sent
    Given the lease holders "A" and "B" of a lease of 10 s
    When 30000 ms pass at the lease holders
    Then no lease holder ever acts without the lease key while answers come 900 ms late
    When the lease holder that may act is paused while an answer is on its way
    Then no lease holder ever acts without the lease key while answers come 900 ms late

  Scenario: A lapse at the store ends the holding
    Given the lease holders "A" and "B" of a lease of 10 s
    When 30000 ms pass at the lease holders
    And the leases lapse at the store
    And 2600 ms pass at the lease holders
    Then every lease holder that may act owns the lease key
    When 30000 ms pass at the lease holders
    Then 1 lease holder may act
    And every lease holder that may act owns the lease key
