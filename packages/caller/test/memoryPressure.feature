@caller
Feature: Garbage is collected early while memory is short

  # Guards against buffers that wait for the collection of V8 on a small machine, and against collections
  # for ordinary calls.
  Scenario Outline: <resident> MB resident, <used> MB of buffers after a collection that left 20 MB, <read> bytes read
    Given a machine with 160 MB, whose last full collection left 20 MB of buffers
    When <read> bytes have been read, <resident> MB are resident and the buffers take <used> MB
    Then the collection is "<collection>"

    Examples:
      | resident | used | read    | collection |
      | 103      | 100  | 9000000 | none       |
      | 105      | 27   | 0       | full       |
      | 105      | 25   | 3000000 | young      |
      | 105      | 25   | 1000000 | none       |

  # Guards against memory that is looked at for each part of a body, or only after the next interval.
  Scenario: The memory is looked at again after each 2 MB that are read
    Given a machine with 160 MB, whose last full collection left 20 MB of buffers
    Then 70 parts of 65536 bytes cause 2 looks
