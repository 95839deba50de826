@holds_not_run
Feature: A refusal that says "not run" is true

  Scenario: An endpoint that cannot be reached is passed over
    Given a system of 1 boxes, 2 engines, 0 stores and 0 plain endpoints
    When engine-1 is killed
    And red sends the prompt alpha to box-1
    Then the answer is whole
    When red sends the prompt beta to box-1, not repeatable
    Then the answer is whole
    And the audit finds nothing

  Scenario: No endpoint can be reached
    Given a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When engine-1 is killed
    And red sends the prompt alpha to box-1
    Then the refusal is endpoint_failed, with the run not run
    And the refusal tells when to come back
    And it came within 3 s

  Scenario: An endpoint that says it did nothing is believed
    Given a system of 1 boxes, 2 engines, 0 stores and 0 plain endpoints
    When all engines have the fault not_run = 1
    And red sends the prompt alpha to box-1, not repeatable
    Then the answer is whole
    When all engines have the fault not_run = 9
    And red sends the prompt beta to box-1, not repeatable
    Then the refusal is endpoint_refused, with the run not run
    And the audit finds nothing

  Scenario: A request that may not repeat and whose connection is cut after it was sent is unknown
    Given a proxy before engine-1
    And a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When the proxy before engine-1 has the fault after_bytes = 0
    And the proxy before engine-1 has the fault cut_answers = 1
    And red sends the prompt alpha to box-1, not repeatable
    Then the refusal is endpoint_failed, with the run unknown
    And 1 runs are on record with the tag once-alpha

  Scenario: A request that is cut on its way to the endpoint is unknown, never "not run"
    Given a proxy before engine-1
    And a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    And the setting router.poll_s is 10
    When the proxy before engine-1 has the fault cut_requests = 1
    And red sends the prompt alpha to box-1, not repeatable
    Then the audit finds nothing

  Scenario: A frozen endpoint leaves a request unknown
    Given a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When engine-1 is frozen
    And red sends the prompt alpha to box-1, not repeatable
    Then the refusal is deadline_exceeded, with the run unknown
    And it came within 6 s
    When engine-1 is woken
    Then the audit finds nothing

  Scenario Outline: What callers are told under load holds while <process> is <fault>
    Given a system of 2 boxes, 3 engines, 1 stores and 2 plain endpoints
    When mixed load runs for 5 s at 30 requests a second
    And 1 seconds pass
    And <process> is <fault>
    And 1.5 seconds pass
    And <process> is woken
    Then the load ends
    And at least 0.8 of its requests were answered
    And the audit finds nothing

    Examples:
      | process      | fault  |
      | engine-1     | frozen |
      | plain-1      | frozen |
      | store-1      | frozen |
      | box-1-router | frozen |
      | box-1-entry  | frozen |
      | platform     | frozen |
