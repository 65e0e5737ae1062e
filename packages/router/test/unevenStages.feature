@router @unevenStages
Feature: Stage workers that state how long work takes on them
  Every second piece is urgent, and due 800 ms after it was submitted. Calls take 200 ms, and 20 ms for each of
  up to 8 pieces, multiplied by the relative duration.

  # Guards, in this order, against: urgent pieces that a slow worker takes although a faster one would end them
  # earlier; calls so large that all their pieces are late; small calls that cost throughput when there is none to
  # spare; workers that wait for others whose figures are only older; calls that are given up while their worker goes on; a worker that is distrusted although it does what it
  # states.
  Scenario Outline: Slow machines
    Given <workers> workers, with <machines>
    When <rate> pieces a second are submitted
    Then without figures the <measure> is <without>
    And with figures the <measure> is <with>

    Examples:
      | workers | machines                                 | rate | measure                   | without | with  |
      | 6       | the first at 300 %                       | 80   | percentage on time        | < 94    | > 99  |
      | 6       | the first at 300 %                       | 110  | percentage on time        | < 94    | > 99  |
      | 6       | the first two changing ten times a second | 80   | percentage on time        | < 90    | > 99  |
      | 6       | all at 200 %                             | 30   | percentage on time        | < 75    | > 85  |
      | 6       | all at 200 %                             | 110  | number of pieces a call   | > 7.5   | > 7.5 |
      | 6       | all at 200 %                             | 80   | percentage on time        | > 20    | > 20  |
      | 1       | all at 600 %                             | 5    | number of time-outs       | > 0     | < 1   |
      | 6       | the first at 300 %                       | 110  | number of distrusted calls | > 0     | < 1   |

  # Guards against a change on deployments whose machines are even.
  Scenario: Even machines
    Given 6 workers, with all at 100 %
    When 120 pieces a second are submitted
    Then each piece is done at the same time with and without figures
