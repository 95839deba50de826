@holds_version
Feature: A new request never uses blocks of another weight version

  Scenario: A swap under load
    Given a system of 2 boxes, 3 engines, 1 stores and 1 plain endpoints
    When mixed load runs for 7 s at 30 requests a second
    And 1.5 seconds pass
    And the operator puts version v2 into force at box-1
    Then all engines run version v2 within 10 s
    And the load ends
    And every request of it was answered whole
    And the audit finds nothing

  Scenario: After a swap, old blocks in memory and in store boxes are not used
    Given a system of 1 boxes, 1 engines, 1 stores and 0 plain endpoints
    When red sends the prompt alpha to box-1
    And store-1 keeps 1 segments within 5 s
    And the operator puts version v2 into force at box-1
    Then all engines run version v2 within 10 s
    When 0.5 seconds pass
    And red sends the prompt alpha to box-1
    Then the answer was computed from nothing
    And engine-1 has imported 0 blocks
    And the audit finds nothing

  Scenario: A run under way across a swap keeps its own version to the end
    Given engines that take 0.02 s a token
    And a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When red starts the prompt alpha of 200 tokens at box-1
    And the prompt alpha is answering
    And the operator puts version v2 into force at box-1
    Then all engines run version v2 within 10 s
    And the prompt alpha is answered whole
    And the answer names version v1
    And the audit finds nothing

  Scenario: An engine's report still names the old version
    Given a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When red sends the prompt alpha to box-1
    And engine engine-1 has the fault stale_version = "v1"
    And the operator puts version v2 into force at box-1
    Then all engines run version v2 within 10 s
    When red sends the prompt alpha to box-1, not repeatable
    Then the answer was computed from nothing
    And the answer names version v2
    And the audit finds nothing

  Scenario: Events of the old version arrive after the swap
    Given engines whose cache events come 3 s late
    And a system of 1 boxes, 2 engines, 0 stores and 0 plain endpoints
    When red sends the prompt alpha to box-1
    And red sends the prompt beta to box-1
    And the operator puts version v2 into force at box-1
    Then all engines run version v2 within 10 s
    When 3 seconds pass
    And red sends the prompt alpha to box-1
    Then the answer was computed from nothing
    And the audit finds nothing
