Feature: Lodgements run at most once under keys that were issued in an outage

  Background:
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And the owner of "lodgements" chose "home" for outages
    And the platform
    And entry hosts "e1, e2" in "dc-a"

  Scenario: The platform goes down, a lodgement runs, and the platform comes back
    When entry host "e1" is asked for a key to "lodgements"
    Then it answers 409 with code "own-key"
    When the platform goes down
    And entry host "e1" has issued a key to "lodgements"
    And lodgement "a" is sent to "e1" under the issued key
    Then the answer to "a" is 200 with outcome "ran"
    When lodgement "a" is sent to "e1" under the issued key
    Then the answer to "a" is 409 with outcome "ran"
    When lodgement "a" is sent to "e2" under the issued key
    Then the answer to "a" is 503 with outcome "unknown"
    When the platform comes back
    And a caller sends lodgement "b" for "lodgements" to "e2" until it is told "ran"
    And lodgement "a" is sent to "e2" under the issued key
    Then the answer to "a" is 503 with outcome "unknown"
    And the backend servers ran "a" 1 time

  Scenario: The issuer is replaced under its old name and address
    When the platform goes down
    And entry host "e1" has issued a key to "lodgements"
    And lodgement "a" is sent to "e1" under the issued key
    And entry host "e1" is killed
    And the platform comes back
    And entry host "e1" is started again
    And entry host "e1" is ready again
    And lodgement "a" is sent to "e1" under the issued key
    Then the answer to "a" is 503 with outcome "unknown"
    And the backend servers ran "a" 1 time
