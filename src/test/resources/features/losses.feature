Feature: Targets and instances are drained or lost
  Every key has at most one owner at any time, and gets a new owner as soon as that is safe.

  Scenario: An operator drains a target
    Given a fleet of 3 instances and 3 targets that check fences
    When the operator drains target 1
    And 2000 ms pass
    Then target 1 is "GONE" and owns nothing
    And every hash slot has an owner

  Scenario: A target that checks fences freezes
    Given a fleet of 3 instances and 3 targets that check fences
    When target 1 freezes with a request in flight
    And 1000 ms pass
    Then target 1 is "LOST" and owns nothing
    And every hash slot has an owner

  Scenario: A target that does not check fences freezes with a request in flight
    Given a fleet of 3 instances and 3 targets that do not check fences
    When target 1 freezes with a request in flight
    And 60000 ms pass
    Then target 1 still owns its hash slots
    When the operator declares target 1 gone
    And 2000 ms pass
    Then target 1 is "GONE" and owns nothing
    And every hash slot has an owner

  Scenario: An instance is lost
    Given a fleet of 3 instances and 6 targets that check fences
    When instance 2 is lost
    And 300 ms pass
    Then instance 2 still holds its grants
    When 300 ms pass
    Then every target has a dispatcher other than instance 2
