Feature: Of three data centres one is cut off, and then a second

  Background:
    Given service "lodgements" with backend servers "h1" in "dc-a"
    And more backend servers "h2" for "lodgements" in "dc-b"
    And more backend servers "h3" for "lodgements" in "dc-c"
    And quick fleet duties
    And the platform
    And entry hosts "e1" in "dc-a"
    And entry hosts "e2" in "dc-b"
    And entry hosts "e3" in "dc-c"

  Scenario: The platform stays within reach
    Given callers sending lodgements for "lodgements" to "e1, e2, e3"
    When the entry hosts know that their configuration is in force
    And host rows and versions are watched
    And data centre "dc-b" is cut off from the others
    And operator "admin" sets "concurrency" of service "lodgements" to 20
    Then the edit is accepted
    And within 5 s it is in force at "e1, e2, e3"
    When data centre "dc-c" is cut off from the others
    And operator "admin" sets "concurrency" of service "lodgements" to 21
    Then the edit is accepted
    And within 5 s it is in force at "e1, e2, e3"
    When data centre "dc-b" is joined again with the others
    And data centre "dc-c" is joined again with the others
    Then within 20 s the status at "e1" says in force
    And at no time a host was in two pools or in none
    And no version fell
    And no promise to the callers was broken
    And no caller was refused

  Scenario: Each loses the platform too
    When the entry hosts know that their configuration is in force
    And host rows and versions are watched
    And data centre "dc-b" is cut off from the others
    And data centre "dc-b" is cut off from the platform
    Then within 5 s lodgements sent to "e2" are refused with "claims-unavailable"
    And within 15 s each duty is held outside "dc-b"
    When data centre "dc-c" is cut off from the others
    And data centre "dc-c" is cut off from the platform
    Then within 5 s lodgements sent to "e3" are refused with "claims-unavailable"
    And an edit at "e3" is refused with "platform-unavailable"
    And within 15 s "dc-c" holds no duty, and "dc-a" holds each
    When operator "admin" sets "concurrency" of service "lodgements" to 20
    Then the edit is accepted
    And within 5 s it is in force at "e1"
    And for 2 s requests without a key to "e2" run in "dc-b" under the old version
    And for 2 s requests without a key to "e3" run in "dc-c" under the old version
    When a caller sends lodgement "k" for "lodgements" to "e1"
    Then the answer to "k" is 200 with outcome "ran"
    When data centre "dc-c" is joined again with the others
    Then within 5 s it is in force at "e3"
    When data centre "dc-b" is joined again with the platform
    Then within 5 s it is in force at "e2"
    When data centre "dc-b" is joined again with the others
    And data centre "dc-c" is joined again with the platform
    And a caller sends lodgement "k" for "lodgements" to "e2" until it is told "ran"
    And a caller sends lodgement "k" for "lodgements" to "e3" until it is told "ran"
    Then the backend servers ran "k" 1 time
    And at no time a host was in two pools or in none
    And no version fell
