@holds_leaving
Feature: A leaving endpoint gets no new work after a few seconds

  Scenario Outline: The list says that <endpoint> is leaving
    Given a system of 2 boxes, 3 engines, 0 stores and 2 plain endpoints
    When the list says that <endpoint> is leaving
    And 2 seconds pass
    Then <endpoint> gets no new run in the next 3 s of load
    And every request of it was answered whole
    And the audit finds nothing

    Examples:
      | endpoint |
      | engine-1 |
      | plain-1  |

  Scenario Outline: The list lags, and <endpoint> itself says that it is leaving
    Given a system of 2 boxes, 3 engines, 0 stores and 2 plain endpoints
    When the platform has the fault list_lag_s = 60
    And endpoint <endpoint> has the fault leaving = true
    And 1 seconds pass
    Then <endpoint> gets no new run in the next 2 s of load
    And <endpoint> turned away at most 4 requests
    And every request of it was answered whole
    And the audit finds nothing

    Examples:
      | endpoint |
      | engine-1 |
      | plain-1  |

  Scenario: The list cannot be reached
    Given a system of 2 boxes, 3 engines, 0 stores and 1 plain endpoints
    When the platform has the fault list_outage = true
    And endpoint engine-1 has the fault leaving = true
    And 1 seconds pass
    Then engine-1 gets no new run in the next 3 s of load
    And every request of it was answered whole

  Scenario: One box's view is stale
    Given a proxy before platform
    And a system of 1 boxes, 2 engines, 0 stores and 1 plain endpoints
    When the proxy before platform has the fault refuse = true
    And the list says that engine-1 is leaving
    And endpoint engine-1 has the fault leaving = true
    And 1 seconds pass
    Then engine-1 gets no new run in the next 3 s of load

  Scenario: An endpoint leaves and comes back under the same address
    Given a system of 1 boxes, 2 engines, 0 stores and 0 plain endpoints
    When endpoint engine-1 has the fault leaving = true
    And the list says that engine-1 is leaving
    And 1 seconds pass
    Then engine-1 gets no new run in the next 1 s of load
    When engine engine-1 has forgotten its cache
    Then engine-1 gets new runs within 3 s of load
