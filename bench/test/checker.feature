Feature: The history checker
  The checker reports a violation of each invariant, and nothing else.

  Background:
    Given a bench history of two answered requests, one refusal and one at-most-once call

  Scenario: A correct history has no violations
    Then the checker counts "3 answered, 1 refused, 0 lost, 0 doubled, 0 crossed"
    And the checker reports no violations

  Scenario Outline: The checker detects that <change>
    When the bench history is changed so that "<change>"
    Then the checker reports only violations of kind "<violation>"
    And the checker counts "<answered> answered, 1 refused, <lost> lost, <doubled> doubled, <crossed> crossed"

    Examples:
      | change                                             | violation     | answered | lost | doubled | crossed |
      | a request is not answered                          | unanswered    | 2        | 1    | 0       | 0       |
      | a response is incomplete                           | incomplete    | 3        | 1    | 0       | 0       |
      | a response is empty                                | incomplete    | 3        | 1    | 0       | 0       |
      | two responses are swapped                          | crossed       | 3        | 0    | 0       | 2       |
      | a response has a word of another one               | crossed       | 3        | 0    | 0       | 1       |
      | a body has the id of another request               | crossed       | 3        | 0    | 0       | 1       |
      | a word is duplicated                               | altered       | 3        | 0    | 0       | 1       |
      | a refused stream has a word of another one         | crossed       | 3        | 0    | 0       | 1       |
      | a key has two effects                              | doubled       | 3        | 0    | 1       | 0       |
      | a second request with a key has an effect          | doubled       | 4        | 0    | 1       | 0       |
      | an answered at-most-once call has no effect        | no-effect     | 3        | 1    | 0       | 0       |
      | the refused request ran a stage                    | false-not-run | 3        | 0    | 0       | 0       |
      | a run starts too late after its zone was taken out | zone-out-run  | 3        | 0    | 0       | 0       |
      | a cold engine is overloaded                        | cold-overload | 3        | 0    | 0       | 0       |

  Scenario Outline: The checker allows that <change>
    When the bench history is changed so that "<change>"
    Then the checker reports no violations

    Examples:
      | change                                            |
      | a run starts shortly after its zone was taken out |
      | a run starts after its zone was put back in       |
      | the refused request may have run a stage          |
      | a second request with a key gets the receipt      |
      | a call without a key has two effects              |
