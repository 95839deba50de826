@holds_blocks
Feature: No request reads a freed or partly written block

  Scenario: A prompt that returns after its engine's memory dropped it starts from a store box
    Given a system of 1 boxes, 1 engines, 1 stores and 0 plain endpoints
    When red sends the prompt alpha to box-1
    And store-1 keeps 1 segments within 5 s
    And engine engine-1 has forgotten its cache
    And red sends the prompt alpha to box-1
    Then at least 0.9 of the prompt was reused
    And engine-1 has imported 22 blocks
    And the audit finds nothing

  Scenario: Many requests that return together share one import
    Given a system of 1 boxes, 1 engines, 1 stores and 0 plain endpoints
    When red sends the prompt alpha to box-1
    And store-1 keeps 1 segments within 5 s
    And engine engine-1 has forgotten its cache
    And red sends the prompt alpha to box-1 12 times at once
    Then every request of it was answered whole
    And engine-1 has imported 22 blocks
    And the audit finds nothing

  Scenario Outline: Kept data that is <damage> is not taken in, and the prompt is computed
    Given a system of 1 boxes, 1 engines, 1 stores and 0 plain endpoints
    When red sends the prompt alpha to box-1
    And store-1 keeps 1 segments within 5 s
    And engine engine-1 has forgotten its cache
    And store store-1 has the fault <fault> = true
    And red sends the prompt alpha to box-1
    Then the answer is whole
    And engine-1 has imported <blocks> blocks
    And the audit finds nothing

    Examples:
      | damage  | fault   | blocks |
      | corrupt | corrupt | 0      |
      | short   | shorten | 11     |

  Scenario: The writer is killed in the middle of an export
    Given stores whose links carry 0.5e9 bytes a second
    And a system of 1 boxes, 2 engines, 1 stores and 0 plain endpoints
    When red sends the prompt alpha to box-1
    And store-1 holds data of an export under way
    And the engine that ran alpha is killed
    And 1 seconds pass
    Then store-1 shows no segment
    When red sends the prompt alpha to box-1
    Then the answer was computed from nothing
    And the audit finds nothing

  Scenario: A block is freed and its space reused while a reader is slow
    Given stores whose links carry 2e9 bytes a second
    And a system of 1 boxes, 1 engines, 1 stores and 0 plain endpoints
    When red sends the prompt alpha to box-1
    And store-1 keeps 1 segments within 5 s
    And engine engine-1 has forgotten its cache
    And store store-1 has the fault read_pause_s = 0.1
    And red starts the prompt alpha of 8 tokens at box-1
    And 0.5 seconds pass
    And all data of store-1 is freed and overwritten
    Then the prompt alpha is answered whole
    And the audit finds nothing

  Scenario: A store box is started anew, empty, under the same address
    Given a system of 1 boxes, 1 engines, 1 stores and 0 plain endpoints
    When red sends the prompt alpha to box-1
    And store-1 keeps 1 segments within 5 s
    And engine engine-1 has forgotten its cache
    And store-1 is killed
    And store store-1 is started anew
    And red sends the prompt alpha to box-1
    Then the answer was computed from nothing
    And the audit finds nothing

  Scenario: A store box is dead
    Given a system of 1 boxes, 1 engines, 1 stores and 0 plain endpoints
    When red sends the prompt alpha to box-1
    And store-1 keeps 1 segments within 5 s
    And engine engine-1 has forgotten its cache
    And store-1 is killed
    And red sends the prompt alpha to box-1
    Then the answer was computed from nothing

  Scenario: A store box that fills gives up what is worth least, and its data is freed later
    Given stores that hold 2e9 bytes
    And the setting router.keep.policy is "all"
    And the setting router.keep.grace_s is 2
    And the setting router.import_timeout_s is 1.5
    And a system of 1 boxes, 1 engines, 1 stores and 0 plain endpoints
    When red sends 10 different prompts to box-1
    And 6 seconds pass
    Then store-1 uses at most 1.9e9 bytes
    And store-1 has no data without a manifest within 5 s
    And the audit finds nothing

  Scenario: While given-up data waits to be freed, no more than needed is given up
    Given stores that hold 3.5e9 bytes
    And the setting router.keep.policy is "all"
    And a system of 1 boxes, 1 engines, 1 stores and 0 plain endpoints
    When red sends 6 different prompts to box-1
    And 4 seconds pass
    Then store-1 shows at least 3 segments

  Scenario: What a dead store box would have kept goes to another
    Given the setting router.keep.policy is "all"
    And a system of 1 boxes, 1 engines, 2 stores and 0 plain endpoints
    When store-1 is killed
    And 4 seconds pass
    And red sends 6 different prompts to box-1
    And 2 seconds pass
    Then store-2 shows at least 6 segments
