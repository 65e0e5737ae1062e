@bodyMemory
Feature: Bodies that are read as a whole share a bounded memory

  # Guards against many responses that are each small enough, and together use up the memory.
  Scenario: Bodies that are read together share their memory, and small ones always have theirs
    Given a memory of 1000 bytes for bodies, each of which may have 100 bytes besides
    When 3 bodies of 500 bytes and 20 bodies of 100 bytes are read together
    Then 2 bodies of 500 bytes and 20 bodies of 100 bytes are whole
    And a body of 1100 bytes can be read afterwards
