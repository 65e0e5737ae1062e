@slowReads
Feature: A native client reads what its store sends slowly

  # Guards against shards of rules that are never read, since a fixed time limit ends each page while it arrives.
  Scenario: A page that takes longer to arrive than a call may take is read
    Given a store that sends its responses in 10 parts, one each 400 ms
    When a prefix is read
    Then it has been read after 4000 ms

  Scenario: A page whose parts stop coming is given up
    Given a store that sends its responses in 10 parts, one each 400 ms, and stops after 3 of them
    When a prefix is read
    Then its read has failed after 2300 ms

  # Guards against a change of a large value that is never received, since the watch passes for silent meanwhile.
  Scenario: A change that takes longer to arrive than a watch may be idle is received
    Given a store that sends its responses in 10 parts, one each 900 ms
    When a prefix is watched
    Then it has received a change after 9100 ms
