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

  Scenario: A balancer goes on sending until it sees that an entry host stops
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    And callers for "lodgements" behind a balancer that checks "e1, e2" each 1 s
    When 100 more answers have come
    And entry host "e1" is told to stop
    And 3 s pass under load
    Then no caller was cut off
    And no caller was refused
    And entry host "e1" ends by itself within 5 s

  Scenario: A stop hands the duties on before their leases lapse
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And the platform
    And entry hosts "e1" in "dc-a"
    When within 10 s entry host "e1" holds the duties "hosts, waves, repair"
    And one more entry host "e2" starts in "dc-a"
    And within 15 s entry host "e2" is ready
    And entry host "e1" is told to stop
    Then within 5 s entry host "e2" holds the duties "hosts, waves, repair"
