Feature: Any entry host explains what any of them decided

  Background:
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And pool "spare" beside it
    And quick fleet duties
    And the platform
    And entry hosts "e1, e2, e3" in "dc-a"
    And the entry hosts know that their configuration is in force

  Scenario: Asked where the duty is not held, why a host is not drained yet
    When backend server "h1" takes 5 s for each request
    And a caller waits for an answer of "h1" through "e1"
    And an operator begins the move of "h1" to "spare" at "e2"
    Then within 10 s every entry host says of host "h1" "requests or tasks are in flight"
    And within 30 s every entry host tells of host "h1" the decisions
      | code       |
      | move-begun |
      | waits      |
      | empty      |
      | move       |
      | warm       |

  Scenario: The deciding entry host is killed, and the row's last cause is told
    When an operator begins the move of "h1" to "spare" at the holder of duty "hosts"
    And the move of "h1" to "spare" is over
    And the holder of duty "hosts" ends by a kill
    Then within 2 s each other entry host says of host "h1" "move:warm:spare"
    And its last decision comes from "platform"
    And the killed entry host is named silent

  Scenario: A frozen peer is named silent, and the answer comes in time
    When an operator begins the move of "h1" to "spare" at "e1"
    And entry host "e3" is frozen
    Then the answer at "e1" about host "h1" comes within 2 s
    And it names "e3" as silent

  Scenario: The platform is out, and memory is told
    When an operator begins the move of "h1" to "spare" at "e1"
    And the move of "h1" to "spare" is over
    And the platform goes down
    Then the answer at "e2" about host "h1" comes within 2 s
    And it says that the platform is silent
    And it tells "move-begun" from "e1"

  Scenario: A request is explained by its id and by its key, also after a kill
    When a caller sends lodgement "l1" for "lodgements" to "e1"
    Then "e2" explains "l1" by its id with "received, claim, route, claim, answered"
    And "e3" explains "l1" by its key with "claim-finished"
    When entry host "e1" is killed
    Then "e2" explains "l1" by its key with "claim-finished"

  Scenario: An edit is not in force yet
    When entry host "e3" is frozen
    And operator "admin" sets "concurrency" of service "lodgements" to 17
    Then within 10 s "e2" says that entry "service/lodgements" is not in force at "e3"
    When entry host "e3" is resumed
    Then within 10 s "e2" says that entry "service/lodgements" is in force
