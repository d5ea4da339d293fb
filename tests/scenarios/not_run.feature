Feature: What is said not to have run was not run

  Background:
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    And callers sending lodgements for "lodgements" to "e1, e2"

  Scenario: Guards refuse, answers are lost, and then all backend servers are full
    When the guard of backend server "h1" refuses everything
    And 40 more answers have come
    And backend server "h2" cuts the next 10 answers
    And 40 more answers have come
    And the guard of backend server "h2" refuses everything
    And 40 more answers have come
    Then no promise to the callers was broken
    And no caller was cut off
    And at least 5 requests were answered with outcome unknown
    And at least 5 requests were answered with outcome not-run
