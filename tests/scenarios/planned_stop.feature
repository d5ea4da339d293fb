Feature: A planned stop cuts no request in flight

  Scenario: An entry host stops while backend servers are slow
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And the platform
    And entry hosts "e1" in "dc-a"
    When backend server "h1" takes 1 s for each request
    And backend server "h2" takes 1 s for each request
    And 8 callers at once send lodgements to "e1"
    And 8 requests are in flight at the backend servers
    And entry host "e1" is told to stop
    Then the 8 callers got their own whole answers
    And entry host "e1" ends by itself within 5 s
