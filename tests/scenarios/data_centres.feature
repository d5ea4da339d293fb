Feature: Data centres that are cut off, lost and joined again

  Background:
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And more backend servers "h3, h4" for "lodgements" in "dc-b"
    And quick fleet duties
    And the platform
    And entry hosts "e1, e2" in "dc-a"
    And entry hosts "e3, e4" in "dc-b"

  Scenario: A data centre is cut off from the others, the platform within reach
    Given callers sending lodgements for "lodgements" to "e1, e2, e3, e4"
    When the entry hosts know that their configuration is in force
    And host rows and versions are watched
    And data centre "dc-b" <cut>
    And operator "admin" sets "concurrency" of service "lodgements" to 20
    Then the edit is accepted
    And within 5 s it is in force at "e1, e2, e3, e4"
    When 5 s pass under load
    And operator "admin" sets "concurrency" of service "lodgements" to 21
    Then within 5 s it is in force at "e1, e2, e3, e4"
    When data centre "dc-b" is joined again with the others
    Then within 20 s the status at "e1" says in force
    And no promise to the callers was broken
    And no caller was refused
    And no version fell

    Examples:
      | cut                                          |
      | is cut off from the others                   |
      | hears the others and is not heard by them    |
      | is heard by the others and doesn't hear them |

  Scenario: A data centre that is cut off from the others loses its backend servers
    When the entry hosts know that their configuration is in force
    And data centre "dc-b" is cut off from the others
    And the backend servers of data centre "dc-b" are killed
    Then within 10 s lodgements sent to "e3" are refused with 503 as surely not run
    When a caller sends lodgement "k" for "lodgements" to "e3"
    Then the answer to "k" is 503 and it did not run
    When data centre "dc-b" is joined again with the others
    Then within 10 s a request without a key to "e3" runs in "dc-a"
    When a caller sends lodgement "k" for "lodgements" to "e3" until it is told "ran"
    Then the backend servers ran "k" 1 time

  Scenario: A data centre is cut off from the others and from the platform
    When the entry hosts know that their configuration is in force
    And host rows and versions are watched
    And data centre "dc-b" is cut off from the others
    And data centre "dc-b" is cut off from the platform
    Then within 5 s lodgements sent to "e3" are refused with "claims-unavailable"
    And an edit at "e3" is refused with "platform-unavailable"
    And within 15 s "dc-b" holds no duty, and "dc-a" holds each
    When operator "admin" sets "concurrency" of service "lodgements" to 20
    Then the edit is accepted
    And within 5 s it is in force at "e1, e2"
    And for 10 s requests without a key to "e3, e4" run in "dc-b" under the old version
    When data centre "dc-b" is joined again with the platform
    And data centre "dc-b" is joined again with the others
    Then within 5 s it is in force at "e3, e4"
    And no version fell
    And at no time a host was in two pools or in none

  Scenario: After a long cut the news comes from the others, while the platform is away
    When the entry hosts know that their configuration is in force
    And host rows and versions are watched
    And data centre "dc-b" is cut off from the others
    And the connections over the cut end
    And data centre "dc-b" is cut off from the platform
    And operator "admin" sets "concurrency" of service "lodgements" to 20
    And 20 s pass
    Then the edit is accepted
    When data centre "dc-b" is joined again with the others
    Then within 5 s it is in force at "e3, e4"
    And no version fell

  Scenario: A data centre is cut off from the platform, the others within reach
    Given callers reading from "lodgements" at "e3, e4"
    When the entry hosts know that their configuration is in force
    And data centre "dc-b" is cut off from the platform
    And 5 s pass under load
    And operator "admin" sets "concurrency" of service "lodgements" to 20
    Then the edit is accepted
    And within 5 s it is in force at "e3, e4"
    When the row of backend server "h3" says that it is leaving
    And 6 s pass under load
    Then backend server "h3" got no new work later than 4 s
    And backend server "h4" still got work later than 5 s
    And no promise to the callers was broken
    And no caller was refused

  Scenario: One key is sent again and again on both sides of a cut
    When the entry hosts know that their configuration is in force
    And callers send 60 lodgements for "lodgements" to "e1, e3" until they have run
    And 5 lodgements were told to have run
    And data centre "dc-b" is cut off from the others
    And 10 lodgements were told to have run
    And data centre "dc-b" is cut off from the platform
    And backend server "h1" cuts the next 4 answers
    And backend server "h2" cuts the next 4 answers
    And 8 s pass
    And 20 lodgements were told to have run
    And data centre "dc-b" is joined again with the platform
    And data centre "dc-b" is joined again with the others
    And data centre "dc-b" is cut off from the platform
    And data centre "dc-b" is cut off from the others
    And 30 lodgements were told to have run
    And data centre "dc-b" is joined again with the others
    And data centre "dc-b" is joined again with the platform
    And the callers have given up or were told that all has run
    Then no lodgement ran twice and none was falsely told to have run
    And at least 52 lodgements were told to have run in the end

  Scenario: A data centre is lost during a wave, and comes back
    Given callers sending lodgements for "lodgements" to "e1, e2"
    When the entry hosts know that their configuration is in force
    And host rows and versions are watched
    And an operator starts a wave
    And a host is being maintained
    And data centre "dc-b" is lost
    Then within 15 s "dc-b" holds no duty, and "dc-a" holds each
    When 100 more answers have come
    And 10 s pass under load
    Then the budget of "lodgements" held
    When data centre "dc-b" comes back
    Then every host is rebooted and the wave is done within 120 s
    And the budget of "lodgements" held
    And within 5 s "e3, e4" run the version of "e1"
    And at no time a host was in two pools or in none
    And no version fell
    And no promise to the callers was broken
    And no caller was refused
