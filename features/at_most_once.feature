Feature: A payout lands exactly once
  Clerks and members repeat a request when no answer comes. Repeats must not run it again.

  Scenario: a payout needs a grant and runs once however often it is repeated
    Given three nodes that serve "settle"
    When a clerk asks for a payout without a grant
    Then the answer is 428 and nothing has run
    When the clerk repeats it 20 times with the grant through all nodes
    Then every answer is "done" or "unknown"
    And the payout has run 1 time

  Scenario: a payout whose owner has died never runs elsewhere
    Given three nodes that serve "settle"
    When a clerk asks for a payout without a grant
    And the grant's owner is killed
    And the clerk repeats it 5 times with the grant through all nodes
    Then every answer is "unknown"
    And the payout has run 0 times

  Scenario: lookups are shed before payouts
    Given one node that serves "settle" with 1 slot and a queue of 2
    When 10 lookups and 2 payouts arrive at once
    Then every payout is done
    And some lookups are refused at once and told when to come back
