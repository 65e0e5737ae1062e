@hostile
Feature: Callers that keep no limits

  # Guards against a process that runs out of memory or descriptors, or that serves nobody else any more.
  # The bound is the memory that the settings of the process state; an idle process needs about half of it.
  Scenario Outline: The router stays within the memory of its machine: <form>
    Given a router on a machine with 160 MB of memory and 300 descriptors
    When <callers> hostile callers send <form>
    Then an ordinary request is answered
    And the process lives, within the memory and the descriptors of its machine

    Examples:
      | callers | form                                        |
      | 60      | large chunks                                |
      | 60      | small chunks                                |
      | 60      | a length without its last byte              |
      | 60      | an announced body over the limit            |
      | 60      | a body over the limit                       |
      | 40      | requests without reading                    |
      | 40      | requests without id and time limit          |
      | 40      | requests without headers                    |
      | 40      | requests for large answers without reading  |
      | 40      | requests for streams without reading        |
      | 400     | heads without end                           |
      | 400     | slow heads                                  |
      | 400     | slow bodies                                 |
      | 400     | nothing                                     |
      | 120     | large chunks, small chunks, requests without reading, requests without headers, heads without end, requests for large answers without reading |

  Scenario Outline: The entry stays within the memory of its machine: <form>
    Given an entry on a machine with 256 MB of memory and 300 descriptors
    When <callers> hostile callers send <form>
    Then an ordinary request is answered
    And the process lives, within the memory and the descriptors of its machine

    Examples:
      | callers | form                                        |
      | 400     | large chunks                                |
      | 60      | small chunks                                |
      | 400     | a length without its last byte              |
      | 60      | an announced body over the limit            |
      | 60      | a body over the limit                       |
      | 40      | requests without reading                    |
      | 40      | requests without headers                    |
      | 40      | requests for large answers without reading  |
      | 400     | heads without end                           |
      | 400     | slow heads                                  |
      | 400     | slow bodies                                 |
      | 400     | nothing                                     |
      | 120     | large chunks, small chunks, requests without reading, requests without headers, heads without end, requests for large answers without reading |

  Scenario Outline: The other ports stay within the memory of the machine: <front>, <port>, <form>
    Given <front> on a machine with <memory> MB of memory and 300 descriptors
    When <callers> hostile callers of the <port> port send <form>
    Then an ordinary request is answered
    And the process lives, within the memory and the descriptors of its machine

    Examples:
      | front    | memory | port      | callers | form                     |
      | a router | 160    | readiness | 400     | nothing                  |
      | a router | 160    | readiness | 40      | requests without headers |
      | a router | 160    | metrics   | 400     | heads without end        |
      | a router | 160    | metrics   | 40      | requests without headers |
      | an entry | 256    | operator  | 400     | heads without end        |
      | an entry | 256    | operator  | 40      | requests without headers |

  # Guards against limits that a single caller inside the documented ones meets.
  Scenario Outline: A single request of the largest size is served: <body>
    Given a router on a machine with 160 MB of memory and 300 descriptors
    When one caller sends 4194304 bytes <body>
    Then that request is answered with 200

    Examples:
      | body                  |
      | with a length         |
      | in chunks of 65536    |
      | in chunks of 32       |
