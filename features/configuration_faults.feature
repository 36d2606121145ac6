Feature: Configuration under faults
    An accepted change is in force on every node within 4 seconds and is never reverted, whatever fails.

    Background:
        Given the "rastro-sul" fleet

    Scenario: an operator whose change conflicts is shown the accepted change
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

    Scenario: a repeated append of a committed change has no effect
        When the log gets a change of tier "desk" to rank 5 twice, with another change to rank 6 in between
        Then tier "desk" has rank 6 on every node within 4 seconds
        And the outcome of the repeated change is "accepted" on every node

    Scenario: a retry with the same id returns the outcome of the change
        When an operator makes the same change twice under one id
        Then both answers name the same version
        And the configuration stream changed the version once

    Scenario Outline: a node that cannot use the log gets a change from its peers within 4 seconds
        Given "entry-3" <fault>
        When an operator changes tier "desk" to rank 5 against the version in force
        Then tier "desk" has rank 5 on every node within 4 seconds
        And the time line of "entry-3" has an event "caughtUp"

        Examples:
            | fault                       |
            | is cut off from the log     |
            | gets no answer from the log |

    Scenario: a node that was cut off from the log reverts nothing after the connection is restored
        Given "entry-3" is cut off from the log
        When an operator changes tier "desk" to rank 5 against the version in force
        And "entry-3" is healed
        And an operator changes tier "desk" to rank 6 against the version in force
        Then tier "desk" has rank 6 on every node within 4 seconds
        And no node ever went back to an older version

    Scenario: a node that was cut off from the log and its peers catches up after the connections are restored
        Given "entry-3" is cut off from the log
        And "entry-3" is cut off from its peers
        When an operator changes tier "desk" to rank 5 against the version in force
        And "entry-3" is healed
        Then tier "desk" has rank 5 on every node within 4 seconds

    Scenario: a node that starts during an outage of the log gets the configuration from its peers
        Given an operator has changed tier "desk" to rank 5
        And the log is down
        When a new node starts
        Then the new node is configured within 4 seconds
        And tier "desk" has rank 5 on every node within 0 seconds

    Scenario: a node that starts without the log and peers reports that it has no configuration
        Given the log is down
        When a new node starts that reaches no peer
        Then the new node is not configured after 30 seconds
        And the new node reports "the log does not answer and no peer that answers has one"

    Scenario: a snapshot of an older version from a peer is ignored
        Given an operator has changed tier "desk" to rank 5
        When a peer offers every node the snapshot of version 0
        Then tier "desk" has rank 5 on every node within 4 seconds
        And no node ever went back to an older version

    Scenario: a node that has read a record of a later format serves no configuration to peers
        Given the log gets a record that has a later format
        When a peer asks "entry-1" for configuration from offset 0
        Then the peer is offered nothing

    Scenario: a node whose log stops answering polls its peers although no peer announces the change
        Given "entry-3" gets no answer from the log
        And "entry-3" receives no version announcements from its peers
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
        And "entry-3" gets answers from the log again
        And 15 seconds pass
        And an operator changes tier "desk" to rank 5 against the version in force
        Then tier "desk" has rank 5 on every node within 4 seconds
