@holds_answer
Feature: Each caller receives the whole answer to its own request

  Scenario: A prompt is answered as a stream and whole, at every box
    Given a system of 2 boxes, 2 engines, 0 stores and 1 plain endpoints
    When red sends the prompt alpha to box-1
    Then the answer is whole
    When red sends the prompt beta to box-2 for a whole answer
    Then the answer is whole
    When red calls POST /portal/order at box-1
    Then the call is answered
    And the audit finds nothing

  Scenario Outline: A stream that is cut after <bytes> bytes is resumed at the exact place
    Given a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When engine engine-1 has the fault after_bytes = <bytes>
    And engine engine-1 has the fault cut = 1
    And red sends the prompt alpha to box-1
    Then the answer is whole
    And the audit finds nothing

    Examples:
      | bytes |
      | 0     |
      | 1     |
      | 190   |
      | 700   |
      | 1700  |

  Scenario: A stream whose run is forgotten ends in a clear error, and no second run is joined to it
    Given a system of 1 boxes, 2 engines, 0 stores and 0 plain endpoints
    When all engines have the fault after_bytes = 400
    And all engines have the fault forget_runs = true
    And all engines have the fault cut = 1
    And red sends the prompt alpha to box-1
    Then the prompt alpha ends in a clear error, with the run unknown
    And the audit finds nothing

  Scenario: A resume that starts at another place is not taken
    Given a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When engine engine-1 has the fault after_bytes = 400
    And engine engine-1 has the fault resume_shift = 7
    And engine engine-1 has the fault cut = 1
    And red sends the prompt alpha to box-1
    Then the prompt alpha ends in a clear error, with the run unknown

  Scenario: A whole answer that is cut is fetched again from the same run
    Given a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When engine engine-1 has the fault after_bytes = 100
    And engine engine-1 has the fault cut = 1
    And red sends the prompt alpha to box-1 for a whole answer
    Then the answer is whole
    And the audit finds nothing

  Scenario: An answer under another request's id is not passed on
    Given a system of 1 boxes, 2 engines, 0 stores and 0 plain endpoints
    When all engines have the fault wrong_id = 1
    And red sends the prompt alpha to box-1
    Then the answer is whole
    And the audit finds nothing

  Scenario: An answer that is garbage is not passed on
    Given a system of 1 boxes, 2 engines, 0 stores and 0 plain endpoints
    When engine engine-1 has the fault garbage = 1
    And engine engine-2 has the fault garbage = 1
    And red sends the prompt alpha to box-1 for a whole answer
    Then the answer is whole
    And the audit finds nothing

  Scenario: Many answers at once, some late, each reach their own caller
    Given a system of 2 boxes, 3 engines, 0 stores and 1 plain endpoints
    When mixed load runs for 4 s at 40 requests a second
    And all engines have the fault after_bytes = 300
    And all engines have the fault cut = 5
    Then the load ends
    And every request of it was answered whole
    And the audit finds nothing

  Scenario: A caller that goes away cancels its run
    Given engines that take 0.05 s a token
    And a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When red starts the prompt alpha of 400 tokens at box-1
    And the prompt alpha is answering
    And the caller of alpha goes away
    Then the run of alpha is cancelled within 2 s

  Scenario: A plain answer that is cut cannot be taken for a whole one
    Given a system of 1 boxes, 0 engines, 0 stores and 1 plain endpoints
    When endpoint plain-1 has the fault cut = 1
    And red calls GET /portal/page at box-1
    Then the caller sees a broken answer

  Scenario: A plain service that gives its answers ids of its own is answered
    Given a system of 1 boxes, 0 engines, 0 stores and 1 plain endpoints
    When endpoint plain-1 has the fault own_id = true
    And red calls GET /portal/page at box-1
    Then the call is answered

  Scenario: A run that its engine ends early ends in a clear error, soon
    Given engines that take 0.05 s a token
    And a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When red starts the prompt alpha of 400 tokens at box-1
    And the prompt alpha is answering
    And the engine ends all its runs early
    And 1.5 seconds pass
    Then the prompt alpha has ended
    And the prompt alpha ends in a clear error, with the run unknown
