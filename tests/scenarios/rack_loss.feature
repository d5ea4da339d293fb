Feature: A rack is lost in a wave while the platform loses answers

  Scenario: Budgets by host and by rack hold throughout
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And more backend servers "h3" for "lodgements" in rack "rack-2"
    And more backend servers "h4" for "lodgements" in rack "rack-3"
    And pool "lodgements" lets 3 hosts be down
    And quick fleet duties
    And drains of 1 s where requests can't be counted
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    And callers sending lodgements for "lodgements" to "e1, e2"
    When host rows and versions are watched
    And the platform loses the answers of the next 2 writes
    And an operator starts a wave
    And a host is being maintained
    And rack "rack-3" is lost
    And the platform loses the answers of the next 2 writes
    And the hosts that were maintained are in service again
    And 5 s pass under load
    Then the budget of "lodgements" of 3 hosts in 1 rack held so far
    When the platform loses the answers of the next 2 writes
    And rack "rack-3" comes back
    Then every host is rebooted and the wave is done within 120 s
    And the budget of "lodgements" of 3 hosts in 1 rack held
    And at no time a host was in two pools or in none
    And no version fell
    And no promise to the callers was broken
