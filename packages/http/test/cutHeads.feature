@cutHeads
Feature: A response whose head is cut off is no response

  # Guards against a success with an empty or short body that looks complete to the caller.
  Scenario Outline: A target that closes in the middle of the head of its response has not responded
    Given a target whose response <ends> is cut off at each position of its head in turn
    When a <client> sends requests to it, each as the <order> on its connection
    Then none of them gets a response with a complete body

    Examples:
      | ends                 | client          | order  |
      | with a length        | connection pool | first  |
      | with a length        | connection pool | second |
      | in chunks            | connection pool | first  |
      | in chunks            | connection pool | second |
      | with its connection  | connection pool | first  |
      | with its connection  | connection pool | second |
      | with a length        | plain request   | first  |
      | in chunks            | plain request   | first  |
      | with its connection  | plain request   | first  |
      | with a length and a close | connection pool | first  |
      | with a length and a close | connection pool | second |
