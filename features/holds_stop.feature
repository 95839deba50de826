@holds_stop
Feature: A planned stop cuts no request

  Scenario: An entry is stopped in mid stream
    Given engines that take 0.03 s a token
    And a system of 2 boxes, 1 engines, 0 stores and 0 plain endpoints
    When red starts the prompt alpha of 100 tokens at box-1
    And the prompt alpha is answering
    And box-1-entry is asked to stop
    Then box-1 is not ready within 1 s
    And the prompt alpha is answered whole
    And box-1-entry has exited with status 0

  Scenario: A stopping entry refuses truthfully what comes after its grace
    Given engines that take 0.03 s a token
    And a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When red starts the prompt alpha of 100 tokens at box-1
    And the prompt alpha is answering
    And box-1-entry is asked to stop
    And 0.8 seconds pass
    And red sends the prompt beta to box-1
    Then the refusal is stopping, with the run not run
    And the refusal tells when to come back
    And the prompt alpha is answered whole

  # Guards against a caller without an answer where its request outlasts the time that an entry has to stop.
  Scenario: An entry answers what still runs when its time to finish requests is over
    Given engines that take 0.1 s a token
    And the setting entry.drain_s is 1
    And a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When red starts the prompt alpha of 100 tokens at box-1 for a whole answer
    And red starts the prompt beta of 100 tokens at box-1
    And the prompt beta is answering
    And box-1-entry is asked to stop
    Then the prompt alpha ends in a clear error, with the run unknown
    And the refusal is stopped, with the run unknown
    And the prompt beta is not answered whole
    And box-1-entry has exited with status 0

  Scenario Outline: <process> is stopped under load
    Given a system of 2 boxes, 2 engines, 1 stores and 1 plain endpoints
    When mixed load runs for 5 s at 30 requests a second
    And 1.5 seconds pass
    And <process> is asked to stop
    Then <process> has exited with status 0
    And the load ends
    And every request of it was answered whole
    And the audit finds nothing

    Examples:
      | process       |
      | box-1-router  |
      | box-1-control |

  Scenario: A router and a control are stopped at the same time
    Given a system of 2 boxes, 2 engines, 1 stores and 1 plain endpoints
    When mixed load runs for 5 s at 30 requests a second
    And 1.5 seconds pass
    And box-2-router is asked to stop
    And box-1-control is asked to stop
    Then box-2-router has exited with status 0
    And box-1-control has exited with status 0
    And the load ends
    And every request of it was answered whole

  Scenario: An endpoint leaves while it answers
    Given engines that take 0.03 s a token
    And a system of 1 boxes, 2 engines, 0 stores and 0 plain endpoints
    When red starts the prompt alpha of 80 tokens at box-1
    And the prompt alpha is answering
    And all engines have the fault leaving = true
    And the list says that engine-1 is leaving
    And the list says that engine-2 is leaving
    Then the prompt alpha is answered whole
