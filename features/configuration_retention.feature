Feature: Configuration beyond the log's retention
    The log retains records for a limited time; the configuration outlasts them without further changes.

    Background:
        Given 3 configuration nodes on a log that retains records for 2 hours
        And one of them sets tier "desk" to rank 5

    Scenario: a node that starts after the log has deleted the last change loads the snapshot
        When 4 hours pass for the configuration nodes
        And a configuration node starts without peers
        Then the log keeps no record of the configuration stream
        And all configuration nodes have tier "desk" at rank 5 within 4 seconds

    Scenario: changes are accepted after the log has deleted the last one
        When 4 hours pass for the configuration nodes
        And a configuration node starts without peers
        And one of them sets tier "desk" to rank 6
        Then all configuration nodes have tier "desk" at rank 6 within 4 seconds

    Scenario: a change that is retried after the log has deleted its record is not applied again
        Given one of them sets tier "desk" to rank 6
        When 4 hours pass for the configuration nodes
        And a configuration node starts without peers
        And the change to rank 5 of tier "desk" is retried on the new node
        Then all configuration nodes have tier "desk" at rank 6 within 4 seconds

    Scenario: one node writes the snapshots for all
        When 6 hours pass for the configuration nodes
        Then 5 to 8 snapshots were written

    Scenario: a node that is stopped before it writes a due snapshot writes none
        Given 1 configuration nodes on a log that retains records for 12 hours
        When the node is stopped 61 s after its start, and 15 minutes pass
        Then the log holds no snapshot

    Scenario Outline: two concurrent snapshot writers do no harm
        When 1 hours pass for the configuration nodes without a further snapshot
        And two configuration nodes write a snapshot at once, <order>
        And 1 hours pass for the configuration nodes without a further snapshot
        And a configuration node starts without peers
        Then the log keeps no record of the configuration stream
        And all configuration nodes have tier "desk" at rank 5 within 4 seconds

        Examples:
            | order                                   |
            | both up to the same offset              |
            | the one that covers less committed last |
            | a malformed one committed last          |

    Scenario: a snapshot dated far in the future does not keep other nodes from writing
        Given the log holds a snapshot that is dated a year ahead
        When 4 hours pass for the configuration nodes
        And a configuration node starts without peers
        Then all configuration nodes have tier "desk" at rank 5 within 4 seconds

    Scenario: a node that has read a record of a later format writes no snapshot
        Given the log of the configuration nodes gets a record of a later format
        When 4 hours pass for the configuration nodes
        Then 0 to 0 snapshots were written

    Scenario: records lost without a snapshot are reported as a warning
        When 3 hours pass for the configuration nodes without a further snapshot
        And a configuration node starts without peers
        Then the new configuration node has no configuration after 30 seconds
        And the new configuration node has a warning "gap"

    Scenario: a node that was cut off for longer than the retention installs the snapshot
        Given one configuration node gets no answer from log and peers
        And one of them sets tier "desk" to rank 6
        When 4 hours pass for the configuration nodes
        And that configuration node is healed
        Then all configuration nodes have tier "desk" at rank 6 within 4 seconds
