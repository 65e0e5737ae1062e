@relay
Feature: A node that reads the store through another believes nothing longer than its evidence

  Background:
    Given a reader of a store that contains "a" and "b", and a follower that reads through it

  Scenario: The follower learns changes without reading the store itself
    When "c" is added to the read store and "a" is deleted from it
    And 1500 ms pass at the follower
    Then the follower knows "b, c"
    And it has read the store 0 times since it found the reader

  # Guards against a price for every heartbeat of every target at every node.
  Scenario: An entry that is written again unchanged has no effect
    When "a" is written again 1 time in 100 ms
    And "a" is written again unchanged 20 times in 2000 ms
    Then neither the reader nor the follower was told of a change
    And it has read the store 0 times since it found the reader

  Scenario: The age of relayed evidence includes the age that it had at the reader
    When each response of the store takes 300 ms
    And 4000 ms pass at the follower
    Then the evidence of the follower was never younger than that of the reader when it was given

  Scenario Outline: The follower reads the store itself when the reader fails
    When the reader <fails>
    And "c" is added to the read store and "a" is deleted from it
    And 2500 ms pass at the follower
    Then the follower knows "b, c"
    And its evidence was never over 2500 ms old

    Examples:
      | fails                      |
      | is killed                  |
      | is silent                  |
      | is cut off from the store  |
      | answers 3000 ms late       |
      | answers with what it knew  |

  Scenario: Evidence ages while the store is away from both
    When the store is away for 4000 ms
    Then the evidence of the follower is at least 4000 ms old

  # Guards against an old state of the store that a reader passes on after a newer one was read.
  Scenario: Entries that are older than what the follower has read are not taken
    When the follower has read the store itself up to a later change, and loses its history
    Then it does not take the older entries of the reader

  Scenario: What was read before the store was restored is not taken after it
    When the follower has seen the restored store before the reader
    Then it does not take what the reader read before

  Scenario: The follower learns from the reader that the store was restored
    When the store is restored without "b", and the reader has read it
    Then the follower reads everything again and knows "a"

  # Guards against an entry of a restored copy that is held back although its writer has written it again.
  Scenario: The first write of an entry after a full read is passed on, also if it changes nothing
    When "a" is written again 1 time in 100 ms
    Then both the reader and the follower were told of a change

  # Guards against a large entry that is wrong or missing at a follower, since its parts are.
  Scenario Outline: A large entry is read from the store if the reader does not give its parts
    When the reader <gives>
    And an entry of 100000 bytes is added to the store
    And 1500 ms pass at the follower
    Then the follower has the large entry as it is in the store
    And it has read the store itself

    Examples:
      | gives                        |
      | gives no parts               |
      | gives parts of another value |
      | gives parts in another order |

  # Guards against a fleet that reads a large value from the store all at once, since no reader passes it on.
  Scenario: A large entry comes through the reader
    When an entry of 700000 bytes is added to the store
    And 1500 ms pass at the follower
    Then the follower knows "a, b, large"
    And it has read the store 0 times since it found the reader

  # Guards against a link that is full for each version of a large value, however little of it changes.
  Scenario: A small change of a large entry moves only the part that changed
    When an entry of 700000 bytes is added to the store
    And 1500 ms pass at the follower
    And 100 bytes in the middle of the large entry are replaced by 90 others
    And 1500 ms pass at the follower
    Then the follower has the large entry as it is in the store
    And under 20000 bytes went over the link for the last change
    And it has read the store 0 times since it found the reader

  # Guards against a link that is full for each version which a follower has missed.
  Scenario: A follower that has missed versions of a large entry gets only the newest one
    When an entry of 700000 bytes is added to the store
    And 1500 ms pass at the follower
    And the reader is silent while the large entry is replaced as a whole 5 times
    Then the follower has the large entry as it is in the store
    And under 900000 bytes went over the link for the last change

  # Guards against many small entries that no reader passes on, since together they are large.
  Scenario: Many entries come through the reader
    When 3000 entries are added to the store at once
    And 1500 ms pass at the follower
    Then the follower knows all entries of the store
    And it has read the store 0 times since it found the reader

  # Guards against a first read of many entries for which every starting node asks the store.
  Scenario: A node that starts reads many entries through the reader
    Given 3000 entries are added to the store at once
    And 1500 ms pass at the follower
    When a second follower starts
    And 1500 ms pass at the follower
    Then the second follower knows all entries of the store without reading it
