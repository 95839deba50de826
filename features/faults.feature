@faults
Feature: Everything holds at once while processes fail

  Scenario Outline: <first> and <second> are killed under load
    Given a system of 3 boxes, 3 engines, 2 stores and 2 plain endpoints
    When mixed load runs for 6 s at 30 requests a second
    And 1.5 seconds pass
    And <first> is killed
    And <second> is killed
    Then the load ends
    And at least <share> of its requests were answered
    And the audit finds nothing

    Examples:
      | first        | second        | share |
      | engine-1     | box-1-router  | 0.9   |
      | store-1      | plain-1       | 0.9   |
      | box-2-entry  | box-3-control | 0.6   |
      | box-1-router | box-2-router  | 0.95  |
      | platform     | store-1       | 0.85  |

  Scenario: A long outage of the platform, while an engine leaves and a router is frozen
    Given a system of 3 boxes, 3 engines, 1 stores and 1 plain endpoints
    When the platform has the fault outage = true
    And mixed load runs for 8 s at 20 requests a second
    And endpoint engine-1 has the fault leaving = true
    And box-2-router is frozen
    And 3 seconds pass
    And box-2-router is woken
    Then the load ends
    And at least 0.85 of its requests were answered
    And the audit finds nothing
