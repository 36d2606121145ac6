Feature: Configuration beyond the log's retention
    The log keeps records for a limited time; the configuration lasts although nobody changes it.

    Background:
        Given 3 configuration nodes on a log that keeps records for 2 hours
        And one of them sets tier "desk" to rank 5

    Scenario: a node that starts after the last change has left the log finds the snapshot
        When 4 hours pass for the configuration nodes
        And a configuration node starts without peers
        Then the log keeps no record of the configuration stream
        And all configuration nodes have tier "desk" at rank 5 within 4 seconds

    Scenario: changes go on after the retention has passed the last one
        When 4 hours pass for the configuration nodes
        And a configuration node starts without peers
        And one of them sets tier "desk" to rank 6
        Then all configuration nodes have tier "desk" at rank 6 within 4 seconds

    Scenario: one node writes for all
        When 6 hours pass for the configuration nodes
        Then 5 to 8 snapshots were written

    Scenario Outline: two snapshot writers at once do no harm
        When 1 hours pass for the configuration nodes without a further snapshot
        And two configuration nodes write a snapshot at once, <landing>
        And 1 hours pass for the configuration nodes without a further snapshot
        And a configuration node starts without peers
        Then the log keeps no record of the configuration stream
        And all configuration nodes have tier "desk" at rank 5 within 4 seconds

        Examples:
            | landing                               |
            | both up to the same offset            |
            | the one that covers less landing last |
            | a malformed one landing last          |

    Scenario: a snapshot with a time far ahead does not keep the others from writing
        Given a snapshot stands in the log whose time is a year ahead
        When 4 hours pass for the configuration nodes
        And a configuration node starts without peers
        Then all configuration nodes have tier "desk" at rank 5 within 4 seconds

    Scenario: a node that a later record format has passed writes no snapshot
        Given the log of the configuration nodes gets a record of a later format
        When 4 hours pass for the configuration nodes
        Then 0 to 0 snapshots were written

    Scenario: lost records without a snapshot are told loudly
        When 3 hours pass for the configuration nodes without a further snapshot
        And a configuration node starts without peers
        Then the new configuration node has no configuration after 30 seconds
        And the new configuration node has a warning "gap"

    Scenario: a paused node that the retention has passed takes the snapshot
        Given one configuration node gets no answer from log and peers
        And one of them sets tier "desk" to rank 6
        When 4 hours pass for the configuration nodes
        And that configuration node is healed
        Then all configuration nodes have tier "desk" at rank 6 within 4 seconds
