Feature: Estimated completion time and early refusal

  Scenario Outline: A request is refused when the requests ahead of it leave too little time
    Given a target that runs <limit> at once with runs that end in "<running>" ms
    And requests ahead that run for "<ahead>" ms
    When a request of <run> ms with <left> ms left asks for admission
    Then the admission decision is "<decision>"

    Examples:
      | limit | running  | ahead    | run | left | decision                 |
      | 2     |          |          | 100 | 100  | admit after 0 ms         |
      | 2     | 50       |          | 100 | 100  | admit after 0 ms         |
      | 2     | 50,80    |          | 100 | 150  | admit after 50 ms        |
      | 2     | 50,80    |          | 100 | 149  | refuse, retry after 1 ms |
      | 2     | 50,80    | 100,100  | 100 | 250  | admit after 150 ms       |
      | 2     | 50,80    | 100,100  | 100 | 200  | refuse, retry after 50 ms |
      | 1     | 50,80    |          | 100 | 200  | admit after 80 ms        |
      | 1     | -5       |          | 100 | 100  | admit after 0 ms         |
      | 8     |          |          | 100 | 99   | refuse, retry after 0 ms |
      | 8     |          |          | 0   | 1    | admit after 0 ms         |

  Scenario: The naive policy refuses nothing
    Given a target that runs 1 at once with runs that end in "900" ms
    And requests ahead that run for "900" ms
    When a request of 100 ms with 1 ms left asks for admission
    Then the naive admission decision is "admit after 0 ms"

  Scenario: The estimated wait is exact when every run takes as long as expected
    Given any running and queued requests of a target
    Then a simulation of the target in virtual time starts the new request after the estimated wait

  Scenario: Run times depend on stage and tokens
    Given runs of the stage "draft" that take 40 ms and 2 ms for each token
    Then a run of "draft" with 100 tokens is expected to take 240 ms
    And a run of "draft" with 500 tokens is expected to take 1040 ms
    And a run of "lookup" with 0 tokens is expected to take 0 ms

  Scenario: An estimate without new runs decays, so that refusals end
    Given runs of the stage "draft" that take 40 ms and 2 ms for each token
    Then a run of "draft" with 100 tokens is expected to take 60 ms when the last is 30 s old

  Scenario: A run that was cut off counts only when it took longer than expected
    Given runs of the stage "draft" that take 40 ms and 0 ms for each token
    When a run of "draft" is cut off after 30 ms
    Then a run of "draft" with 100 tokens is expected to take 40 ms
    When a run of "draft" is cut off after 140 ms
    Then a run of "draft" with 100 tokens is expected to take 50 ms

  Scenario: The safety margin follows the deviation of runs from the estimate
    Given runs of the stage "draft" that take 40 ms and 0 ms for each token
    Then the safety margin of a run of "draft" is 0 ms
    When 200 runs of "draft" take 140 ms and 40 ms in turn
    Then the safety margin of a run of "draft" is between 70 and 85 ms
