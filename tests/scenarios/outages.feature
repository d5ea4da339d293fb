Feature: Work on hosts goes on after the platform was out, and out again

  Background:
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And pool "spare" beside it
    And quick fleet duties
    And drains of 1 s where requests can't be counted
    And leases of 4 s
    And repair of hosts that are not listed for 2 s
    And the platform
    And entry hosts "e1, e2, e3" in "dc-a"
    And callers reading from "lodgements" at "e1, e2, e3"

  Scenario: The platform goes out twice during a move
    When host rows and versions are watched
    And operator "admin" moves "h1" to "spare" at "e2"
    And the platform is told to drain "h1"
    And the platform goes down
    Then moves and waves are refused with "platform-unavailable" at "e1, e2"
    When 5 s pass under load
    And the platform comes back
    Then within 15 s each duty is held again
    When host "h1" is "returning"
    And the platform goes down
    And 3 s pass under load
    And the platform comes back
    Then host "h1" is in service in pool "spare" within 20 s
    And the platform was told to drain "h1" 1 time
    And the platform was told to resume "h1" 1 time
    And at no time a host was in two pools or in none
    And no version fell
    And no promise to the callers was broken
    And no caller was refused

  Scenario: The platform goes out twice during a wave
    When host rows and versions are watched
    And an operator starts a wave
    And a host is being maintained
    And the platform goes down
    Then moves and waves are refused with "platform-unavailable" at "e1, e2"
    When 5 s pass under load
    And the platform comes back
    Then within 15 s each duty is held again
    When another host is being maintained
    And the platform goes down
    And 3 s pass under load
    And the platform comes back
    Then every host is rebooted and the wave is done within 30 s
    And the platform was told to drain "h1, h2" 1 time
    And the platform was told to reboot "h1, h2" 1 time
    And the budget of "lodgements" held
    And at no time a host was in two pools or in none
    And no promise to the callers was broken
    And no caller was refused

  Scenario: The platform goes out twice during a repair
    When host rows and versions are watched
    And the list of live hosts lacks "h1"
    And the platform is told to drain "h1"
    And the list of live hosts is whole again
    And the platform goes down
    And 5 s pass under load
    And the platform comes back
    Then within 15 s each duty is held again
    When a host is being maintained
    And the platform goes down
    And 3 s pass under load
    And the platform comes back
    Then host "h1" is in service in pool "lodgements" within 20 s
    And the platform was told to drain "h1" 1 time
    And the platform was told to reboot "h1" 1 time
    And the budget of "lodgements" held
    And at no time a host was in two pools or in none
    And no promise to the callers was broken
    And no caller was refused
