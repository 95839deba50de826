@holds_isolation
Feature: No workspace sees another workspace's prompts or kept context

  Scenario: Equal prompts of two workspaces share nothing in an engine's memory
    Given a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When red sends the prompt alpha to box-1
    Then the answer was computed from nothing
    When blue sends the prompt alpha to box-1
    Then the answer was computed from nothing
    When red sends the prompt alpha to box-1
    Then at least 0.9 of the prompt was reused
    And the audit finds nothing

  Scenario: Equal prompts of two workspaces share nothing in a store box
    Given a system of 1 boxes, 1 engines, 1 stores and 0 plain endpoints
    When red sends the prompt alpha to box-1
    And store-1 keeps 1 segments within 5 s
    And engine engine-1 has forgotten its cache
    And blue sends the prompt alpha to box-1
    Then the answer was computed from nothing
    And engine-1 has imported 0 blocks
    When red sends the prompt alpha to box-1
    Then at least 0.9 of the prompt was reused
    And the audit finds nothing

  Scenario: A caller cannot name kept context by guessing
    Given a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When red sends the prompt alpha to box-1
    And blue sends a prompt that names the blocks of engine-1 to box-1
    Then the answer was computed from nothing

  Scenario: A key that is revoked while in use
    Given a system of 2 boxes, 1 engines, 0 stores and 0 plain endpoints
    When red sends the prompt alpha to box-2
    Then the answer is whole
    When the operator revokes the keys of red
    Then that is in force everywhere within 4 s
    When red sends the prompt alpha to box-2
    Then the refusal is unauthenticated, with the run not run
    When blue sends the prompt alpha to box-2
    Then the answer was computed from nothing

  Scenario: A workspace reaches only the services it may use
    Given a system of 1 boxes, 1 engines, 0 stores and 1 plain endpoints
    When the operator lets red use only portal
    Then that is in force everywhere within 4 s
    When red sends the prompt alpha to box-1
    Then the refusal is unknown_model, with the run not run
    When red calls GET /portal/page at box-1
    Then the call is answered

  Scenario: Cookies of one workspace do not reach another
    Given a system of 1 boxes, 0 engines, 0 stores and 1 plain endpoints
    When red calls GET /portal/page at box-1
    And blue calls GET /portal/page at box-1
    Then the call carried no cookie

  Scenario: Logs and metrics hold no prompt
    Given a system of 2 boxes, 2 engines, 1 stores and 0 plain endpoints
    When red sends the prompt secretword to box-1
    And engine engine-1 has the fault garbage = 3
    And engine engine-2 has the fault garbage = 3
    And red sends the prompt secretword to box-2 for a whole answer
    Then no log and no metric holds the text of secretword

  Scenario: A caller cannot pass for another workspace at a plain service
    Given a system of 1 boxes, 0 engines, 0 stores and 1 plain endpoints
    When red calls GET /portal/page at box-1 under the name of blue
    Then the plain service was told of red alone
