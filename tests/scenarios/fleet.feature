Feature: Fleet duties over separate processes

  Scenario: A holder is killed between intent and effect
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And pool "spare" beside it
    And quick fleet duties
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    When the holder of duty "hosts" is frozen
    And the other entry host begins the move of "h1" to "spare"
    And the holder of duty "hosts" is killed
    Then host "h1" is in service in pool "spare" within 40 s
    And the platform was told to drain "h1" 1 time

  Scenario: A wave under load cuts no request
    Given service "lodgements" with backend servers "h1, h2, h3" in "dc-a"
    And quick fleet duties
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    And callers sending lodgements for "lodgements" to "e1, e2"
    When each request takes the backend servers 4 s
    And an operator starts a wave
    Then every host is rebooted once and the wave is done within 90 s
    And at no time more than 1 host was out of service
    And no promise to the callers was broken
    And no request was cut in flight

  Scenario: The holder of a duty is killed, and its successor before it has finished
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And pool "spare" beside it
    And quick fleet duties
    And the platform
    And entry hosts "e1, e2, e3" in "dc-a"
    When the holder of duty "hosts" is frozen
    And the other entry host begins the move of "h1" to "spare"
    And the holder of duty "hosts" is killed
    And the successor of duty "hosts" has begun to drain "h1"
    And the holder of duty "hosts" is killed after its drain
    Then host "h1" is in service in pool "spare" within 40 s
    And the platform was told to drain "h1" 1 time

  Scenario: The platform is slow, and a holder frozen past its lease wakes and acts
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And pool "spare" beside it
    And quick fleet duties
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    When host rows and versions are watched
    And the holder of duty "hosts" is frozen
    And the platform takes 0.3 s for each call
    And the other entry host begins the move of "h1" to "spare"
    And the successor of duty "hosts" has begun to drain "h1"
    And the frozen holder is resumed
    Then host "h1" is in service in pool "spare" within 60 s
    And the platform was told to drain "h1" 1 time
    And at no time a host was in two pools or in none
    And no version fell

  Scenario: Planned work over the budget is refused, and failures go first
    Given service "lodgements" with backend servers "h1, h2, h3" in "dc-a"
    And pool "spare" beside it
    And quick fleet duties
    And drains of 1 s where requests can't be counted
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    When host rows and versions are watched
    And the list of live hosts lacks "h2"
    Then the move of "h1" to "spare" at "e1" is refused: hosts-exhausted
    When the list of live hosts lacks "h2, h3"
    Then the move of "h1" to "spare" at "e2" is refused: failures-first
    And the platform was told to drain "h1, h2, h3" 0 time
    When the list of live hosts is whole again
    And operator "admin" moves "h1" to "spare" at "e2"
    Then host "h1" is in service in pool "spare" within 40 s
    And the platform was told to drain "h1" 1 time
    And the budget of "lodgements" held
