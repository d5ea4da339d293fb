Feature: Requests go to backend servers that can serve them

  Scenario: A backend server that fails at once attracts no work
    Given service "lodgements" with backend servers "h1, h2, h3, h4" in "dc-a"
    And the platform
    And entry hosts "e1" in "dc-a"
    And callers sending lodgements for "lodgements" to "e1"
    When backend server "h1" answers everything with an error
    And 300 more answers have come
    Then at most 30 requests were answered with an error
    And no promise to the callers was broken

  Scenario: A flood of one service leaves its neighbour served
    Given service "parts" with backend servers "p1" in "dc-a"
    And service "lodgements" with backend servers "h1" in "dc-a"
    And entry hosts that run at most 8 requests at once
    And the platform
    And entry hosts "e1" in "dc-a"
    And measured callers sending lodgements to "e1"
    When backend server "p1" takes 1 s for each request
    And 30 callers flood "parts" at "e1"
    And 100 more answers have come
    Then every lodgement ran and took the entry host at most 0.5 s beside the time that it had no processor
    And every lodgement was answered within 1 s
    And every refused request of "parts" surely did not run
