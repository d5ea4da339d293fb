Feature: A lodgement runs at most once, wherever and however often it is sent

  Background:
    Given service "lodgements" with backend servers "h1, h2" in "dc-a"
    And the platform
    And entry hosts "e1, e2" in "dc-a"

  Scenario: One key is sent to two entry hosts at once
    When backend server "h1" takes 1 s for each request
    And backend server "h2" takes 1 s for each request
    And lodgement "a" for "lodgements" is sent to "e1, e2" at once
    Then the answers to "a" are "200 ran, 409 unknown"
    And the backend servers ran "a" 1 time

  Scenario: The entry host is killed while the lodgement runs
    When backend server "h1" takes 1 s for each request
    And backend server "h2" takes 1 s for each request
    And a caller begins to send lodgement "b" for "lodgements" to "e1"
    And 1 requests are in flight at the backend servers
    And entry host "e1" is killed
    And a caller sends lodgement "b" for "lodgements" to "e2"
    Then the answer to "b" is 409 with outcome "unknown"
    And the backend servers ran "b" 1 time

  Scenario: The entry host is frozen while the lodgement runs, and wakes
    When backend server "h1" takes 1 s for each request
    And backend server "h2" takes 1 s for each request
    And a caller begins to send lodgement "c" for "lodgements" to "e1"
    And 1 requests are in flight at the backend servers
    And entry host "e1" is frozen
    And a caller sends lodgement "c" for "lodgements" to "e2"
    Then the answer to "c" is 409 with outcome "unknown"
    When entry host "e1" is resumed
    And the caller that began to send "c" has its answer
    Then the answer to "c" is 200 with outcome "ran"
    When a caller sends lodgement "c" for "lodgements" to "e2" until it is told "ran"
    Then the answer to "c" is 409 with outcome "ran"
    And the backend servers ran "c" 1 time

  Scenario: The claim takes effect and its answer is lost
    When the platform loses the answer of the next write
    And a caller sends lodgement "d" for "lodgements" to "e1"
    Then the answer to "d" is 200 with outcome "ran"
    When a caller sends lodgement "d" for "lodgements" to "e2" until it is told "ran"
    Then the backend servers ran "d" 1 time

  Scenario: The platform is down and comes back
    When the platform goes down
    And a caller sends lodgement "e" for "lodgements" to "e1"
    Then the answer to "e" is 503 with outcome "unknown"
    And the backend servers ran "e" 0 times
    When the platform comes back
    And a caller sends lodgement "e" for "lodgements" to "e2" until it is told "ran"
    Then the answer to "e" is 200 with outcome "ran"
    And the backend servers ran "e" 1 time

  Scenario: One entry host is cut off from the platform
    When entry host "e1" is cut off from the platform
    And a caller sends lodgement "f" for "lodgements" to "e1"
    Then the answer to "f" is 503 with outcome "unknown"
    When a caller sends lodgement "f" for "lodgements" to "e2"
    Then the answer to "f" is 200 with outcome "ran"
    When entry host "e1" is joined again with the platform
    And a caller sends lodgement "f" for "lodgements" to "e1" until it is told "ran"
    Then the backend servers ran "f" 1 time

  Scenario: Callers send again elsewhere while hosts, answers and the platform fail
    When backend server "h1" takes 0.3 s for each request
    And backend server "h2" takes 0.3 s for each request
    And callers send 60 lodgements for "lodgements" to "e1, e2" until they have run
    And 5 lodgements were told to have run
    And the platform loses the answer of the next write
    And 10 lodgements were told to have run
    And backend server "h1" cuts the next 2 answers
    And 20 lodgements were told to have run
    And entry host "e1" is killed
    And 30 lodgements were told to have run
    And the platform goes down
    And a caller sends lodgement "x" for "lodgements" to "e2" until it is told "unknown"
    And the platform comes back
    And entry host "e1" is started again
    And the callers have given up or were told that all has run
    Then no lodgement ran twice and none was falsely told to have run
    And at least 50 lodgements were told to have run in the end
