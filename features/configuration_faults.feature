Feature: Configuration under faults
    What was accepted is in force everywhere within 4 seconds and is never reverted, whatever fails.

    Background:
        Given the "rastro-sul" fleet

    Scenario: the loser of a race is shown what the winner changed
        When two operators change the configuration against the same version
        Then the refused operator is shown the other's change of "tiers/desk"

    Scenario Outline: a change whose append answer is lost is applied exactly once
        Given the answers to the next <lost> appends of "entry-1" are lost
        When an operator changes tier "desk" to rank 5 against the version in force
        Then the change is accepted
        And the configuration stream changed the version once

        Examples:
            | lost |
            | 1    |
            | 2    |
            | 3    |

    Scenario: a repeated append of a change that has landed has no effect
        When a change of tier "desk" to rank 5 stands twice in the log, with one to rank 6 by somebody else between
        Then tier "desk" has rank 6 on every node within 4 seconds
        And the outcome of the repeated change is "accepted" on every node

    Scenario: asking again with the same id tells what became of a change
        When an operator makes the same change twice under one id
        Then both answers name the same version
        And the configuration stream changed the version once

    Scenario Outline: a node that cannot use the log gets a change from its peers within 4 seconds
        Given "entry-3" <fault>
        When an operator changes tier "desk" to rank 5 against the version in force
        Then tier "desk" has rank 5 on every node within 4 seconds
        And the time line of "entry-3" has an event "caughtUp"

        Examples:
            | fault                            |
            | is cut off from the log          |
            | gets no answer from the log      |

    Scenario: a node cut off from the log and then healed reverts nothing
        Given "entry-3" is cut off from the log
        When an operator changes tier "desk" to rank 5 against the version in force
        And "entry-3" is healed
        And an operator changes tier "desk" to rank 6 against the version in force
        Then tier "desk" has rank 6 on every node within 4 seconds
        And no node ever went back to an older version

    Scenario: a node cut off from log and peers catches up after it is healed
        Given "entry-3" is cut off from the log
        And "entry-3" is cut off from its peers
        When an operator changes tier "desk" to rank 5 against the version in force
        And "entry-3" is healed
        Then tier "desk" has rank 5 on every node within 4 seconds

    Scenario: a node that starts in an outage of the log asks its peers
        Given an operator has changed tier "desk" to rank 5
        And the log is down
        When a new node starts
        Then the new node is configured within 4 seconds
        And tier "desk" has rank 5 on every node within 0 seconds

    Scenario: a node that starts without log and peers says that it has no configuration
        Given the log is down
        When a new node starts that reaches no peer
        Then the new node is not configured after 30 seconds
        And the new node says "the log does not answer and no peer that answers has one"

    Scenario: a peer with an older version changes nothing
        Given an operator has changed tier "desk" to rank 5
        When a peer offers every node the snapshot of version 0
        Then tier "desk" has rank 5 on every node within 4 seconds
        And no node ever went back to an older version

    Scenario: a later format keeps a node from handing its configuration on
        Given the log gets a record that has a later format
        When a peer asks "entry-1" for configuration from offset 0
        Then the peer is offered nothing

    Scenario: a node whose log falls silent asks its peers although nobody tells it of the change
        Given "entry-3" gets no answer from the log
        And "entry-3" is told of no version by its peers
        When an operator changes tier "desk" to rank 5 against the version in force
        Then tier "desk" has rank 5 on every node within 4 seconds

    Scenario: a log that answers slowly is still followed
        Given "entry-3" gets answers from the log after 3 seconds
        And "entry-3" is cut off from its peers
        When an operator changes tier "desk" to rank 5 against the version in force
        Then tier "desk" has rank 5 on every node within 9 seconds

    Scenario: an unanswered read does not stop the follower
        Given "entry-3" gets no answer from the log
        And "entry-3" is cut off from its peers
        When 60 seconds pass
        And "entry-3" is healed
        And an operator changes tier "desk" to rank 5 against the version in force
        Then tier "desk" has rank 5 on every node within 4 seconds
