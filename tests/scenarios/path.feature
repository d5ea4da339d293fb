Feature: A request served end to end by separate processes

  Scenario: A lodgement passes an entry host and is answered
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    When a caller sends lodgement "r1" for "lodgements" to "e1"
    And a caller sends lodgement "r2" for "lodgements" to "e2"
    Then the answer to "r1" is 200 with outcome "ran"
    And the answer to "r2" is 200 with outcome "ran"
    And the answer to "r1" is its own
    And the backend servers ran "r1" 1 time
    And the backend servers ran "r2" 1 time
