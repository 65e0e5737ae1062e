@cli-over-http
Feature: The command line over the real protocols
  The store, the host list and one node listen on loopback; the node follows the store.

  Background:
    Given a store, a host list and a node that listen on loopback for operators

  Scenario Outline: An example file is published, becomes active and reads back without differences
    When operator "Mere" runs "apply <file>" over HTTP
    Then the command over HTTP exits with 0 and prints "Revision 1 is accepted and in force at all 1 live nodes."
    When operator "Mere" runs "diff <file>" over HTTP
    Then the command over HTTP exits with 0 and prints "No difference from revision 1 by Mere."
    When operator "Mere" runs "status" over HTTP
    Then the command over HTTP exits with 0 and prints "Newest revision: 1."

    Examples:
      | file                         |
      | examples/lautoka.rules       |
      | examples/rekvisitlanet.rules |

  Scenario: A change whose response is lost is not made twice
    Given the store loses its next response to an operator
    When operator "Mere" runs "apply examples/lautoka.rules" over HTTP
    Then the command over HTTP exits with 0 and prints "Revision 1 is accepted"

  Scenario: Of two operators who change the same revision, one gets a conflict
    When operator "Mere" runs "apply examples/lautoka.rules" over HTTP
    And operators "Ana" and "Jone" take out "north-a" and "north-b" from revision 1 at once
    Then one of them gets a conflict that names the other, and the other's change stays

  Scenario: In a store outage nothing is changed and nodes still respond
    When operator "Mere" runs "apply examples/lautoka.rules" over HTTP
    Given the store is unreachable for operators
    When operator "Mere" runs "zone out north-a --asked-by Mere" over HTTP
    Then the command over HTTP exits with 4 and prints "nothing was changed"
    When operator "Mere" runs "status" over HTTP
    Then the command over HTTP exits with 4 and prints "the newest revision is not known"
    And the command over HTTP exits with 4 and prints "north-a"
