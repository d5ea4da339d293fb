Feature: The platform's list of live hosts lags

  Scenario: A wave keeps to the budget, and enough hosts take work throughout
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And quick fleet duties
    And drains of 1 s where requests can't be counted
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    And callers reading from "lodgements" at "e1, e2"
    When host rows and versions are watched
    And the list of live hosts lags by 6 s
    And an operator starts a wave
    Then every host is rebooted and the wave is done within 60 s
    And the budget of "lodgements" held
    And at no time a host was in two pools or in none
    And no promise to the callers was broken
    And no caller was refused
