Feature: Limits of a plan
  Callers can use what their plan allows. A refused request is known not to have run.

  Background:
    Given a fleet of 1 instances and 1 targets that check fences

  Scenario Outline: A customer sends more than its plan allows
    When operator "awa" puts customer "salon" on a plan with burst <burst> and concurrency <concurrency> based on the current revision
    And customer "salon" sends <sent> requests to "ledger"
    Then <refused> requests are refused with "<code>"

    Examples:
      | burst | concurrency | sent | refused | code                |
      | 2     | 10          | 3    | 1       | rate-limited        |
      | 10    | 2           | 5    | 3       | concurrency-limited |
      | 3     | 3           | 3    | 0       | rate-limited        |

  Scenario Outline: A request that no plan covers
    When operator "awa" puts customer "salon" on a plan with burst 5 and concurrency 5 based on the current revision
    And customer "<customer>" sends 1 requests to "<service>"
    Then 1 requests are refused with "<code>"

    Examples:
      | customer | service | code                |
      | stranger | ledger  | not-allowed-by-plan |
      | salon    | books   | not-allowed-by-plan |
      | salon    | nowhere | unknown-service     |

  Scenario: An instance loses contact with the control group
    When operator "awa" puts customer "salon" on a plan with burst 5 and concurrency 5 based on the current revision
    And the instance has no contact with the control group for 3100 ms
    And customer "salon" sends 1 requests to "ledger"
    Then 1 requests are refused with "no-lease"
