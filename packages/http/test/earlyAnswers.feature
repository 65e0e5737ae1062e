@earlyAnswers
Feature: A response that is broken off is not complete, whenever its connection is reset

  # Guards against a part of a body that is taken for the whole, since its end and a reset are read together.
  Scenario Outline: A body without length is incomplete if its target breaks off
    Given a target that reads only the head of a request of <size> bytes, responds with a part, and <ends>
    When a <client> sends 15 requests to it
    Then none of the responses is complete

    Examples:
      | size    | ends                                                | client          |
      | 10      | resets at once                                      | connection pool |
      | 3500000 | resets at once                                      | connection pool |
      | 3500000 | closes at once                                      | connection pool |
      | 3500000 | closes its side, and resets 200 ms later            | connection pool |
      | 10      | resets at once                                      | plain request   |
      | 3500000 | resets at once                                      | plain request   |
      | 3500000 | closes at once                                      | plain request   |
      | 3500000 | closes its side, and resets 200 ms later            | plain request   |

  # Guards against failures in place of responses that a target may send as it does.
  Scenario Outline: A body without length is complete if its target ends the connection in order
    Given a target that responds to a request of <size> bytes <how>
    When a <client> sends 5 requests to it
    Then each of the responses is complete with the status 413

    Examples:
      | size    | how                                                           | client          |
      | 10      | after reading it, and closes                                  | connection pool |
      | 3500000 | after reading it, and closes                                  | connection pool |
      | 3500000 | before reading it, closes its side, and reads on              | connection pool |
      | 3500000 | before reading it with a length, and reads on                 | connection pool |
      | 10      | after reading it, and closes                                  | plain request   |
      | 3500000 | after reading it, and closes                                  | plain request   |
      | 3500000 | before reading it, closes its side, and reads on              | plain request   |

  # Guards against an answer with a status that no caller can understand.
  Scenario Outline: A response whose status is none of HTTP is a failure that may have run
    Given a target that responds with the status <status>
    When a <client> sends 1 request to it
    Then <result>

    Examples:
      | status | client          | result                          |
      | 000    | connection pool | the request is broken           |
      | 099    | connection pool | the request is broken           |
      | 600    | connection pool | the request is broken           |
      | 999    | connection pool | the request is broken           |
      | 599    | connection pool | each of the responses is complete with the status 599 |
      | 200    | connection pool | each of the responses is complete with the status 200 |
      | 000    | plain request   | the request is broken           |
      | 600    | plain request   | the request is broken           |
      | 999    | plain request   | the request is broken           |
      | 599    | plain request   | each of the responses is complete with the status 599 |

  # Guards against an end that is passed on although a write shows the reset, without the luck of a real socket.
  Scenario Outline: The end of a socket counts only if an empty write after it succeeds
    Given a socket whose writes <writes>, and that is to stand for <hold> ms after its end
    When its end is read after data
    Then it <result>

    Examples:
      | writes                            | hold | result                                      |
      | succeed                           | 0    | ends                                        |
      | fail after its end                | 0    | closes with an error, and does not end      |
      | fail 100 ms after its end         | 0    | ends                                        |
      | fail 100 ms after its end         | 300  | closes with an error, and does not end      |
      | fail 500 ms after its end         | 300  | ends                                        |
      | are held back, and fail later     | 0    | closes with an error, and does not end      |
      | are held back, and succeed later  | 0    | ends                                        |
