Feature: Operators race each other over hosts and entries

  Background:
    Given service "lodgements" with backend servers "h1, h2, h3" in "dc-a"
    And pool "spare" beside it
    And pool "other" beside it
    And quick fleet duties
    And the platform
    And entry hosts "e1, e2, e3" in "dc-a"

  Scenario: Two operators move one host to two pools, and others more of the pool
    When operators at once move "h1 to spare, h1 to other, h2 to spare, h3 to other"
    Then 1 of the moves was begun
    And every host is in service in one pool within 40 s
    And at no time a host was in two pools or in none
    And at no time more than 1 host of "lodgements" had left service

  Scenario: Operators edit one entry at once
    When at "e1, e2, e3" operators at once set "concurrency" of service "lodgements"
    Then 1 of the edits was accepted
    And within 5 s the accepted value is in force at "e1, e2, e3"
