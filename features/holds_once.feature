@holds_once
Feature: A request marked not repeatable runs at most once

  Scenario: The same key at two boxes at once
    Given a system of 2 boxes, 0 engines, 0 stores and 2 plain endpoints
    When red calls POST /portal/order at box-1 and box-2 at once with the key board-7
    Then exactly 1 of them was answered
    And 1 runs are on record with the tag once-board-7
    And the audit finds nothing

  Scenario: A lookup that a shop repeats does not ship a second board
    Given a system of 2 boxes, 0 engines, 0 stores and 2 plain endpoints
    When red calls POST /portal/order at box-1 with the key advisory-1 and the body x
    Then the call is answered
    When red calls POST /portal/order at box-2 with the key advisory-1 and the body x
    Then the refusal is already_claimed, with the run unknown
    And 1 runs are on record with the tag once-advisory-1

  Scenario: A key that is used again with another body
    Given a system of 1 boxes, 0 engines, 0 stores and 1 plain endpoints
    When red calls POST /portal/order at box-1 with the key crew-1 and the body x
    And red calls POST /portal/order at box-1 with the key crew-1 and the body y
    Then the refusal is idempotency_key_reused, with the run not run
    And 1 runs are on record with the tag once-crew-1

  Scenario: Two workspaces use the same key
    Given a system of 1 boxes, 0 engines, 0 stores and 1 plain endpoints
    When red calls POST /portal/order at box-1 with the key crew-1 and the body x
    Then the call is answered
    When blue calls POST /portal/order at box-1 with the key crew-1 and the body x
    Then the call is answered

  Scenario: The answer of the claim is lost after it took effect
    Given a system of 1 boxes, 0 engines, 0 stores and 1 plain endpoints
    When the platform has the fault lose_answers = 1
    And red calls POST /portal/order at box-1 with the key crew-2 and the body x
    Then the call is answered
    And 1 runs are on record with the tag once-crew-2

  Scenario: The platform is down
    Given a system of 1 boxes, 0 engines, 0 stores and 1 plain endpoints
    When the platform has the fault outage = true
    And red calls POST /portal/order at box-1 with the key crew-3 and the body x
    Then the refusal is claim_unavailable, with the run not run
    And the refusal tells when to come back
    And it came within 4 s
    And no run is on record
    When the platform has the fault outage = false
    And 1 seconds pass
    And red calls POST /portal/order at box-1 with the key crew-3 and the body x
    Then the call is answered
    And 1 runs are on record with the tag once-crew-3

  Scenario: The entry is killed while the request runs
    Given engines that take 0.05 s a token
    And a system of 2 boxes, 1 engines, 0 stores and 0 plain endpoints
    When red starts the prompt alpha of 100 tokens at box-1 with the key crew-4
    And the prompt alpha is answering
    And box-1-entry is killed
    And red sends the prompt alpha to box-2 with the key crew-4
    Then the refusal is idempotency_key_reused, with the run not run
    And 1 runs are on record with the tag once-crew-4

  Scenario: The entry is killed between claim and send
    Given a proxy before engine-1
    And a system of 2 boxes, 1 engines, 0 stores and 0 plain endpoints
    When the proxy before engine-1 has the fault frozen = true
    And red starts the prompt alpha of 8 tokens at box-1 with the key crew-5
    And 0.5 seconds pass
    And box-1-entry is killed
    And the proxy before engine-1 has the fault cut_now = true
    And the proxy before engine-1 has the fault frozen = false
    And red sends the prompt alpha to box-2 with the key crew-5
    Then the refusal is already_claimed, with the run unknown
    And the audit finds nothing

  Scenario Outline: A <method> call that may not repeat is not sent again when its answer is lost
    Given a system of 1 boxes, 0 engines, 0 stores and 2 plain endpoints
    When endpoint plain-1 has the fault cut_before_answer = 5
    And endpoint plain-2 has the fault cut_before_answer = 5
    And red calls <method> /portal/order at box-1, not repeatable
    Then the refusal is endpoint_failed, with the run unknown
    And 1 runs are on record with the tag once-/portal/order

    Examples:
      | method |
      | POST   |
      | GET    |
      | PUT    |

  Scenario: A call that may repeat is sent again
    Given a system of 1 boxes, 0 engines, 0 stores and 2 plain endpoints
    When endpoint plain-1 has the fault fail = 1
    And endpoint plain-2 has the fault fail = 1
    And red calls GET /portal/page at box-1
    Then the call is answered

  Scenario: The platform gets the claim late, after the caller was told "not run"
    Given the setting entry.claim_timeout_s is 0.4
    And a system of 1 boxes, 0 engines, 0 stores and 1 plain endpoints
    When the platform has the fault slow_s = 0.8
    And red calls POST /portal/order at box-1 with the key crew-6 and the body x
    Then the refusal is claim_unavailable, with the run not run
    When the platform has the fault slow_s = 0
    And 3 seconds pass
    And red calls POST /portal/order at box-1 with the key crew-6 and the body x
    Then the call is answered
    And 1 runs are on record with the tag once-crew-6
