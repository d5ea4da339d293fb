Feature: A newer version and this one share the platform

  Scenario: A newer version writes rows and the catalogue while everything goes on
    Given service "lodgements" with backend servers "h1, h2, h3" in "dc-a"
    And pool "spare" beside it
    And pool "lodgements" lets 2 hosts be down
    And quick fleet duties
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    And callers sending lodgements for "lodgements" to "e1, e2"
    When host rows and versions are watched
    And a newer version adds fields, choices and a kind to the catalogue
    And a newer version adds fields to the shared rows
    Then within 5 s the newer version's catalogue is in force at "e1, e2"
    When an operator moves "h1" to "spare"
    And a newer version adds fields to the shared rows
    And operator "admin" sets "concurrency" of service "lodgements" to 17
    Then the edit is accepted
    And within 5 s it is in force at "e1, e2"
    And host "h1" is in service in pool "spare" within 40 s
    When operator "admin" sets "concurency" of service "lodgements" to 18
    Then the edit is refused with "findings"
    When an operator starts a wave
    And a newer version adds fields to the shared rows
    And one more entry host "e3" starts in "dc-a"
    Then within 15 s entry host "e3" is ready
    And every host is rebooted once and the wave is done within 90 s
    And nothing that the newer version wrote was dropped
    And no promise to the callers was broken
    And no caller was refused
    And at no time a host was in two pools or in none
    And no version fell

  Scenario: A catalogue of a format that is not known yet is left, and the last one serves
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    And callers sending lodgements for "lodgements" to "e1, e2"
    When host rows and versions are watched
    And a newer version writes a catalogue of format 99
    And operator "admin" sets "concurrency" of service "lodgements" to 17
    Then the edit is refused with "findings"
    And for 3 s the version at "e1, e2" does not fall
    When one more entry host "e3" starts in "dc-a"
    Then within 15 s entry host "e3" is ready
    And a lodgement sent to "e3" reads a whole answer
    And no caller was refused
    And no version fell

  Scenario: The status shows which entry hosts run which program
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    When an entry host "e8" of program "9.8.7" and format 2 has its row
    And an entry host "e9" of an older program has its row
    Then within 10 s the status at "e1" tells the programs of "e1, e2, e8, e9"
