Feature: A caller gets the whole answer to its own request

  Background:
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And pool "lodgements" lets 0 hosts be down
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    And callers sending lodgements for "lodgements" to "e1, e2"

  Scenario: Answers are cut, truncated and surplus
    When backend server "h1" cuts the next 5 answers
    And backend servers "h1" have used up their faults
    And backend server "h1" truncates the next 5 answers
    And backend server "h2" truncates the next 5 answers
    And backend servers "h1, h2" have used up their faults
    And backend server "h2" adds a surplus to the next 10 answers
    And backend servers "h2" have used up their faults
    Then no promise to the callers was broken
    And no caller was cut off
    And at least 15 requests were answered with outcome unknown

  Scenario: A backend server is killed under load
    When backend server "h1" is killed
    And 100 more answers have come
    Then no caller was cut off
    And at least 50 requests were answered with outcome ran
