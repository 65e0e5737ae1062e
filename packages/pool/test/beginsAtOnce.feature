@beginsAtOnce
Feature: Whether a batch call begins when it arrives
  The inputs of a call are freed before its end only if it has surely fetched them, and won't need them
  again.

  # Guards against inputs that are freed while the call waits at the worker, so that whole chains of stages
  # run again.
  Scenario Outline: A call that may wait, or may find no room, keeps its inputs
    Given a worker with <senders> sender whose last call was <last>, at <pace> speed
    When a call is sent that leaves <left> % of the room
    Then its inputs <end> be freed before its end

    Examples:
      | senders | last    | pace   | left | end     |
      | 1       | done    | usual  | 10   | can     |
      | 2       | done    | usual  | 10   | can not |
      | 1       | none    | usual  | 10   | can not |
      | 1       | refused | usual  | 10   | can not |
      | 1       | failed  | usual  | 10   | can not |
      | 1       | done    | slow   | 10   | can not |
      | 1       | done    | usual  | 4    | can not |
