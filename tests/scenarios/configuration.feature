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

  Scenario: An entry host that is cut off from the platform hears from its peers
    When the entry hosts know that their configuration is in force
    And entry host "e3" is cut off from the platform
    And operator "admin" sets "concurrency" of service "lodgements" to 20
    Then the edit is accepted
    And within 5 s it is in force at "e1, e2, e3"

  Scenario: An entry host started during an outage takes the copy of a peer
    When operator "admin" sets "concurrency" of service "lodgements" to 21
    And the platform goes down
    And one more entry host "e4" starts in "dc-a"
    Then the edit is accepted
    And within 10 s entry host "e4" is ready
    And within 5 s it is in force at "e4"
    And a lodgement sent to "e4" reads a whole answer

  Scenario: An entry host started with neither platform nor peers is not ready
    When the platform goes down
    And entry hosts "e1, e2, e3" are killed
    And one more entry host "e4" starts in "dc-a"
    Then entry host "e4" is not ready for 5 s

  Scenario: Laggards are named, and a frozen one catches up without reverting
    When the entry hosts know that their configuration is in force
    And entry host "e3" is frozen
    And operator "admin" sets "concurrency" of service "lodgements" to 22
    Then the edit is accepted
    And within 10 s the status at "e1" names "e3" as silent
    When entry host "e3" is resumed
    Then within 5 s it is in force at "e3"
    And within 10 s the status at "e1" says in force

  Scenario: The platform's head is put back to the first catalogue
    When operator "admin" sets "concurrency" of service "lodgements" to 23
    Then the edit is accepted
    And within 5 s it is in force at "e1, e2, e3"
    When the platform's head is put back to the first catalogue
    And operator "admin" sets "concurrency" of service "lodgements" to 24
    Then the edit is refused with "head-behind"
    And for 3 s the version at "e1, e2, e3" does not fall
