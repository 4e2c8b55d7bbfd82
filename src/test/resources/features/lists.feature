Feature: Changes of the lists
  Operators change plans and allowances concurrently. No change is lost or applied twice.

  Scenario: Two operators start from the same revision
    Given a fleet of 3 instances and 3 targets that check fences
    When operator "awa" puts customer "salon" on a plan with burst 2 and concurrency 2 based on the current revision
    And operator "ben" puts customer "kiosk" on a plan with burst 2 and concurrency 2 based on the same revision
    Then operator "awa" receives the result that the change is accepted
    And operator "ben" receives a conflict with the change of customer "salon"

  Scenario: An operator resends after a lost response
    Given a fleet of 3 instances and 3 targets that check fences
    When operator "awa" puts customer "salon" on a plan with burst 2 and concurrency 2 based on the current revision
    And operator "ben" puts customer "kiosk" on a plan with burst 9 and concurrency 9 based on the current revision
    And operator "awa" resends the change
    Then operator "awa" receives the same result as before
    And customer "salon" has no plan
