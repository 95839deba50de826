@callers
Feature: Callers meet the OpenAI-compatible API, and bad input disturbs nobody

  Scenario: The openai client is used unchanged
    Given a system of 1 boxes, 2 engines, 0 stores and 0 plain endpoints
    Then the openai client lists the model llm
    And the openai client gets a chat answer, whole and streamed, with usage
    And the openai client gets a text completion
    And the openai client raises its own error for a wrong key and a wrong model

  Scenario Outline: Bad input: <what>
    Given the setting entry.body_timeout_s is 1
    And a system of 1 boxes, 1 engines, 0 stores and 1 plain endpoints
    When a caller sends <what>
    Then the answer's status is <status> and its code <code>
    And no run is on record
    When red sends the prompt alpha to box-1
    Then the answer is whole

    Examples:
      | what                        | status | code                     |
      | no key                      | 401    | unauthenticated          |
      | an unknown key              | 401    | unauthenticated          |
      | an unknown model            | 404    | unknown_model            |
      | a plain service as model    | 404    | unknown_model            |
      | an unknown path             | 404    | unknown_path             |
      | a wrong method              | 405    | method_not_allowed       |
      | malformed JSON              | 400    | bad_request              |
      | deeply nested JSON          | 400    | bad_request              |
      | JSON that is no object      | 400    | bad_request              |
      | messages that are no list   | 400    | bad_request              |
      | no messages                 | 400    | bad_request              |
      | bytes that are no UTF-8     | 400    | bad_request              |
      | a body over the limit       | 413    | body_too_large           |
      | a chunked body over the limit | 413  | body_too_large           |
      | a slow body                 | 408    | slow_sender              |
      | too long an idempotency key | 400    | idempotency_key_invalid |
      | a timeout of minus one      | 400    | bad_request              |
      | a header flood              | 431    | none                     |

  Scenario: Endpoints that never answer, fail, or answer garbage
    Given the setting entry.first_byte_timeout_s is 1
    And a system of 1 boxes, 2 engines, 0 stores and 0 plain endpoints
    When engine engine-1 has the fault never = 1
    And engine engine-2 has the fault never = 1
    And red sends the prompt alpha to box-1
    Then the answer is whole
    When all engines have the fault garbage = 5
    And red sends the prompt beta to box-1 for a whole answer
    Then the refusal is endpoint_garbage, with the run unknown
    And the refusal tells when to come back

  Scenario: Plain services take any method, large bodies and headers
    Given a system of 1 boxes, 0 engines, 0 stores and 1 plain endpoints
    Then each of GET, POST, PUT, PATCH, DELETE and OPTIONS reaches the plain service with its body
    And a body of 3000000 bytes reaches the plain service whole
    And hop-by-hop headers and the caller's key do not reach the plain service

  Scenario: One workspace's flood does not slow another
    Given a system of 1 boxes, 2 engines, 0 stores and 0 plain endpoints
    When blue's calm time to first token is measured
    And red floods box-1 with 300 prompts while blue goes on
    Then blue's prompts are all answered, and none waits over 2 s
    And red's refusals say not run and when to come back
    And the audit finds nothing

  Scenario: A workspace over its rate is refused at once
    Given a system of 1 boxes, 1 engines, 0 stores and 0 plain endpoints
    When the operator limits red to 2 requests a second
    And red sends 8 short prompts to box-1 at once
    Then at least 5 of them are refused as rate_limited
    And the audit finds nothing

  Scenario Outline: Retries do not make a service worse of which <share> fails
    Given a system of 1 boxes, 3 engines, 0 stores and 0 plain endpoints
    When all engines have the fault fail_share = <share>
    And red sends 150 short prompts to box-1, one after the other
    Then the engines saw at most <attempts> attempts a request

    Examples:
      | share | attempts |
      | 0.1   | 1.15     |
      | 0.5   | 1.15     |
      | 1.0   | 1.15     |

  Scenario: Plain services get bodies as they were sent, and answers without a body pass
    Given a system of 1 boxes, 0 engines, 0 stores and 1 plain endpoints
    Then a compressed body reaches the plain service as it was sent
    And a HEAD call and an answer with status 204 pass

  Scenario: A run that is given up on is cancelled at its engine
    Given the setting entry.first_byte_timeout_s is 1
    And engines that take 0.02 s a token
    And a system of 1 boxes, 2 engines, 0 stores and 0 plain endpoints
    When all engines have the fault stall_before_answer = 1
    And red sends the prompt alpha to box-1
    Then the answer is whole
    And the run of alpha is cancelled within 2 s
