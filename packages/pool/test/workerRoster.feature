@pool @workerRoster
Feature: What a slow worker leaves to faster ones

  # Guards against pieces that wait for a worker that would not end them earlier, or does not take them.
  Scenario Outline: A piece is left to another worker only if that will take it, and end it earlier
    Given another worker that is <state>, at 100 %, and <but>
    Then a worker at <own> % <does> a piece

    Examples:
      | state                 | but                      | own | does   |
      | idle                  | has room                 | 300 | leaves |
      | idle                  | has room                 | 120 | takes  |
      | busy for 300 ms       | has room                 | 300 | leaves |
      | busy for 500 ms       | has room                 | 300 | takes  |
      | busy for -1 ms        | has room                 | 300 | takes  |
      | idle                  | has 2 calls of others    | 300 | takes  |
      | idle                  | has none                 | 300 | takes  |
      | idle                  | is paused                | 300 | takes  |
      | idle                  | is slower than it states | 300 | takes  |
      | idle for long         | has room                 | 300 | takes  |
      | idle | has stated 300 % last | 300 | takes |
      | idle                  | is far from the inputs   | 200 | takes  |
      | idle                  | is far from the inputs   | 300 | leaves |

  # Guards against pieces that wait in their zone for a slow worker, and inputs that are freed before it fetches them.
  Scenario Outline: A worker that states that it is much slower is not of normal speed
    Given a worker that is idle at <percent> %
    Then it <zone> pieces in its zone, and <inputs> inputs early

    Examples:
      | percent | zone          | inputs         |
      | 200     | keeps         | frees          |
      | 230     | does not keep | does not free  |

  # Guards against nodes that all wait for the same worker, and then all send to it.
  Scenario: Nodes that share 10 workers don't all wait for the fastest
    Then 12 nodes that see the same figures leave between 1 and 6 pieces to it
