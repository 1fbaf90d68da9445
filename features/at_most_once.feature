Feature: A payout runs at most once
  Clients repeat a request when they get no answer. The repeats must not run it again.

  Scenario: a payout needs a grant and runs once, however often it is repeated
    Given three nodes that serve "settle"
    When a clerk asks for a payout without a grant
    Then the answer is 428 and nothing has run
    When the clerk repeats it 20 times with the grant through all nodes
    Then every answer is "done" or "unknown"
    And the payout has run 1 time

  Scenario: a payout whose owner was killed never runs on another node
    Given three nodes that serve "settle"
    When a clerk asks for a payout without a grant
    And the grant's owner is killed
    And the clerk repeats it 5 times with the grant through all nodes
    Then every answer is "unknown"
    And the payout has run 0 times

  Scenario: lookups are shed before payouts
    Given one node that serves "settle" with 1 slot and a queue of 2
    When 10 lookups and 2 payouts arrive concurrently
    Then every payout is done
    And some lookups are refused with a retry delay
