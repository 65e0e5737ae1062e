@bodyMemory
Feature: Bodies that are read as a whole share a bounded memory

  # Guards against many responses that are each small enough, and together use up the memory.
  Scenario: Bodies that are read together share their memory, and small ones always have theirs
    Given a memory of 1000 bytes for bodies, each of which may have 100 bytes besides
    When 3 bodies of 500 bytes and 20 bodies of 100 bytes are read together
    Then 2 bodies of 500 bytes and 20 bodies of 100 bytes are whole
    And a body of 1100 bytes can be read afterwards

  # Guards against bodies that are kept for a caller that does not read the responses before them.
  Scenario: A large body is not read further before its turn, and a small one does not wait
    When a body of 10 parts of 16384 bytes is read before its turn
    Then 5 of its parts have been read
    And it is whole once its turn has come
    When a body of 4 parts of 16384 bytes is read before its turn
    Then it is whole without its turn
