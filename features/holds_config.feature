@holds_config
Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: A change is in force everywhere
    Given a system of 3 boxes, 1 engines, 0 stores and 0 plain endpoints
    When the operator puts version v2 into force at box-2
    Then that is in force everywhere within 4 s

  Scenario: Two operators confirm rival plans
    Given a system of 2 boxes, 1 engines, 0 stores and 0 plain endpoints
    When an operator plans version v2 at box-1 as first
    And an operator plans version v1 with 1 loads at once at box-2 as second
    And the plan first is confirmed at box-1
    Then it is accepted
    When the plan second is confirmed at box-2
    Then it is refused with what changed
    And version v2 is wanted

  Scenario: Rival plans are confirmed at the same moment
    Given a system of 2 boxes, 1 engines, 0 stores and 0 plain endpoints
    When an operator plans version v2 at box-1 as first
    And an operator plans version v1 with 1 loads at once at box-2 as second
    And the plans first and second are confirmed at once
    Then exactly one plan is accepted

  Scenario: The answer of a confirmation is lost
    Given a system of 2 boxes, 1 engines, 0 stores and 0 plain endpoints
    When an operator plans version v2 at box-1 as first
    And the platform has the fault lose_answers = 1
    And the plan first is confirmed at box-1
    Then it is accepted
    And that is in force everywhere within 4 s
    When the plan first is confirmed at box-2
    Then it is accepted
    And version v2 is wanted

  Scenario: The platform is down
    Given a system of 2 boxes, 1 engines, 0 stores and 0 plain endpoints
    When an operator plans version v2 at box-1 as first
    And the platform has the fault outage = true
    And the plan first is confirmed at box-1
    Then it is refused for the platform
    When 3 seconds pass
    And red sends the prompt alpha to box-1
    Then the answer is whole
    When the platform has the fault outage = false
    And 1 seconds pass
    And the plan first is confirmed at box-2
    Then it is accepted
    And that is in force everywhere within 4 s

  Scenario: A process that is started in an outage takes the newest from its peers
    Given a system of 3 boxes, 1 engines, 0 stores and 0 plain endpoints
    When the operator puts version v2 into force at box-1
    Then that is in force everywhere within 4 s
    When the platform has the fault outage = true
    And box-2-router is killed
    And box-2-entry is killed
    And the program router of box-2 is started again
    And the program entry of box-2 is started again
    Then box-2 is ready within 8 s
    And box-2 has that revision
    When red sends the prompt alpha to box-2
    Then the answer is whole

  Scenario: A process that finds neither platform nor peers does not become ready
    Given a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When the platform has the fault outage = true
    And box-1-router is killed
    And box-1-entry is killed
    And the program router of box-1 is started again
    And the program entry of box-1 is started again
    And 2 seconds pass
    Then box-1 is not ready within 1 s

  Scenario: A box that is cut off from platform and peers takes no new requests
    Given a proxy before platform
    And a proxy before box-1-router
    And a proxy before box-2-router
    And only box-3 goes through the platform's proxy
    And a system of 3 boxes, 1 engines, 0 stores and 0 plain endpoints
    When box-3 is cut off from platform and peers
    Then box-3 is not ready within 6 s
    When red sends the prompt alpha to box-3
    Then the refusal is not_ready, with the run not run
    And the refusal tells when to come back
    When red sends the prompt alpha to box-1
    Then the answer is whole
    When the operator puts version v2 into force at box-1
    And box-3 reaches platform and peers again
    Then box-3 is ready within 6 s
    And box-3 has that revision

  Scenario Outline: A control that led is frozen past its lease, and wakes with an old view
    Given <engines>
    And a proxy before platform
    And a proxy before box-2-router
    And only box-1 goes through the platform's proxy
    And a system of 2 boxes, 2 engines, 0 stores and 0 plain endpoints
    When box-1 holds the lease
    And box-1-control is frozen
    And box-1-router is frozen
    And box-1 is cut off from platform and peers
    And the operator puts version v2 into force at box-2
    Then all engines run version v2 within 15 s
    When box-1-control is woken
    And 3 seconds pass
    Then all engines run version v2 within 0.5 s
    And the audit finds nothing

    Examples:
      | engines                           |
      | engines that take 0.005 s a token |
      | engines that do not check orders  |
