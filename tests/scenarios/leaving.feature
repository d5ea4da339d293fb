Feature: A backend server that is leaving receives no new work

  Background:
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And the platform
    And entry hosts "e1, e2" in "dc-a"

  Scenario: The row says that it is leaving
    Given callers sending lodgements for "lodgements" to "e1, e2"
    When the row of backend server "h1" says that it is leaving
    And 5 s pass under load
    Then backend server "h1" got no new work later than 3 s
    And backend server "h2" still got work later than 4 s
    And no promise to the callers was broken
    And no caller was cut off

  Scenario: An entry host that is cut off from the platform hears it from a peer
    Given callers reading from "lodgements" at "e1, e2"
    When entry host "e1" is cut off from the platform
    And 3 s pass under load
    And the row of backend server "h1" says that it is leaving
    And 5 s pass under load
    Then backend server "h1" got no new work later than 3 s
    And backend server "h2" still got work later than 4 s
    And no promise to the callers was broken
    And no caller was refused

  Scenario: Only the server itself says that it is leaving
    Given callers reading from "lodgements" at "e1, e2"
    When entry host "e1" is cut off from the platform
    And entry host "e2" is cut off from the platform
    And the row of backend server "h1" says that it is leaving
    And backend server "h1" itself says that it is leaving
    And 5 s pass under load
    Then backend server "h1" got no new work later than 3 s
    And backend server "h1" was sent nothing later than 3 s
    And backend server "h2" still got work later than 4 s
    And no promise to the callers was broken
    And no caller was refused

  Scenario: The other backend server has been ejected when one leaves
    Given callers reading from "lodgements" at "e1, e2"
    When backend server "h2" answers everything with an error
    And entry hosts "e1, e2" have ejected "h2"
    And backend server "h2" answers without errors again
    And the row of backend server "h1" says that it is leaving
    And 5 s pass under load
    Then backend server "h1" got no new work later than 3 s
    And backend server "h2" still got work later than 4 s
    And no promise to the callers was broken
    And no caller was refused

  Scenario: Only the platform's list says that it is leaving
    Given callers reading from "lodgements" at "e1, e2"
    When the list of live hosts says that "h1" is leaving
    And 5 s pass under load
    Then backend server "h1" got no new work later than 3 s
    And backend server "h2" still got work later than 4 s
    And no promise to the callers was broken
    And no caller was refused
    When the list of live hosts says that no host is leaving
    Then within 5 s backend server "h1" gets new work
