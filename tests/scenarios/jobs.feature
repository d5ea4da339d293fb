Feature: A submitted job runs once, whoever holds the duty

  Background:
    Given pool "night" with 4 hosts and a team that may use them
    And the platform
    And entry hosts "e1, e2, e3" in "dc-a"

  Scenario: The entry host that schedules is killed with jobs at hand
    Given the platform takes no task commands
    When 12 jobs "a" are submitted to "e1"
    And the starts of all submitted jobs are open intents
    And the entry host that holds duty "scheduling" is killed
    And the platform takes task commands again
    Then all submitted jobs are done within 40 s
    And each submitted job was started 1 time

  Scenario: A worker that fails everything does not stop the others' work
    Given worker "night-1" fails everything
    When 8 jobs "b" are submitted to "e2"
    Then all submitted jobs are done within 40 s

  Scenario: What can never run is refused, and the reason is told
    When job "huge" of 99 processors is submitted to "e3"
    Then it is refused with "shape-never-fits"

  Scenario: The platform loses answers and goes away while jobs start
    Given the platform will lose 2 answers
    When 6 jobs "c" are submitted to "e1"
    And the platform goes down
    And 3 s pass
    And the platform comes back
    Then all submitted jobs are done within 60 s
    And each submitted job was started 1 time

  Scenario: Urgent work starts on a pool full of batch
    When 32 batch jobs "d" fill the pool through "e1"
    Then urgent jobs "u1, u2, u3, u4, u5" through "e2" start within 2.5 s

  Scenario: While the platform is out, operators are refused with the reason
    When 4 jobs "f" are submitted to "e1"
    And the platform goes down
    Then at "e1, e2, e3" all calls about job "f-0" are refused with "platform-unavailable"
    When the platform comes back
    Then all submitted jobs are done within 40 s
    And each submitted job was started 1 time
    And nothing is known of the refused submissions
