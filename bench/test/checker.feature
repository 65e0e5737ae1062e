Feature: The history checker
  Each invariant can be refuted: a history that breaks it is found out.

  Background:
    Given a bench history of two answered requests, one refusal and one reorder

  Scenario: A right history breaks nothing
    Then the checker counts "3 answered, 1 refused, 0 lost, 0 doubled, 0 crossed"
    And the checker finds nothing

  Scenario Outline: <mutation> is found out
    When the bench history is changed so that "<mutation>"
    Then the checker finds only "<violation>"
    And the checker counts "<answered> answered, 1 refused, <lost> lost, <doubled> doubled, <crossed> crossed"

    Examples:
      | mutation                                  | violation     | answered | lost | doubled | crossed |
      | a request has no end                      | unanswered    | 2        | 1    | 0       | 0       |
      | an answer breaks off                      | incomplete    | 3        | 1    | 0       | 0       |
      | an answer is empty                        | incomplete    | 3        | 1    | 0       | 0       |
      | two answers change places                 | crossed       | 3        | 0    | 0       | 2       |
      | an answer holds a word of another         | crossed       | 3        | 0    | 0       | 1       |
      | a body has the id of another request      | crossed       | 3        | 0    | 0       | 1       |
      | a word comes twice                        | altered       | 3        | 0    | 0       | 1       |
      | a refused stream brought a foreign word   | crossed       | 3        | 0    | 0       | 1       |
      | a key has two effects                     | doubled       | 3        | 0    | 1       | 0       |
      | a repeated key has a second effect        | doubled       | 4        | 0    | 1       | 0       |
      | an answered reorder has no effect         | no-effect     | 3        | 1    | 0       | 0       |
      | the refused request ran a stage           | false-not-run | 3        | 0    | 0       | 0       |
      | a run starts late in a zone that is out   | zone-out-run  | 3        | 0    | 0       | 0       |
      | a cold engine is overloaded               | cold-overload | 3        | 0    | 0       | 0       |

  Scenario Outline: <change> is allowed
    When the bench history is changed so that "<change>"
    Then the checker finds nothing

    Examples:
      | change                                    |
      | a run starts soon after a zone is out     |
      | a run starts after the zone is in again   |
      | the refused request may have run a stage  |
      | a repeated key gets the first answer      |
      | a call without a key has two effects      |
