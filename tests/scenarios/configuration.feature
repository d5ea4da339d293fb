Feature: An accepted configuration is in force everywhere and never reverts

  Background:
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And the platform
    And entry hosts "e1, e2, e3" in "dc-a"

  Scenario: The accepting entry host is killed right after its answer
    When operator "admin" sets "concurrency" of service "lodgements" to 17
    And entry host "e1" is killed
    Then the edit is accepted
    And within 5 s it is in force at "e2, e3"

  Scenario: Nobody edits another owner's entry
    When operator "rival" sets "concurrency" of service "lodgements" to 1
    Then the edit is refused with "access-denied"

  Scenario: An edit during an outage is refused, and the answer of a lost write is settled
    When the platform goes down
    And operator "admin" sets "concurrency" of service "lodgements" to 18
    Then the edit is refused with "platform-unavailable"
    When the platform comes back
    And the platform loses the answer of the next write
    And operator "admin" sets "concurrency" of service "lodgements" to 19
    Then the edit is accepted
    And within 5 s it is in force at "e1, e2, e3"
