Feature: Restoring the platform's log from an older copy
    What a node keeps and writes again when the log loses what it has acknowledged, without a network.

    Scenario Outline: a configuration in force never goes back and the next one is in force in time when <case>
        Given a node with configuration 1 in force
        When <case>
        Then configuration <kept> is in force
        And configuration 9 is in force within 2000 ms of its writing

        Examples:
            | case                                                                  | kept |
            | the node has read more than the copy holds                            | 2    |
            | the node has read as much as the copy holds                           | 2    |
            | the node has read less than the copy holds                            | 2    |
            | the log has given out the node's offsets again before the node reads  | 5    |
            | the log is restored twice in a row                                    | 2    |
            | a late answer of the old era follows one of the new                   | 2    |

    Scenario Outline: a server <case> is <state> 1500 ms after the restore and <later> 3500 ms after it
        Given a node with configuration 1 in force
        When the log is restored and a server <case>
        Then the server is "<state>" 1500 ms after the restore
        And the server is "<later>" 3500 ms after the restore

        Examples:
            | case                                                    | state    | later    |
            | is missing from the copy and does not register again    | ready    | gone     |
            | is missing from the copy and registers again after 1 s  | ready    | ready    |
            | that had left before is in the copy                     | gone     | gone     |
            | that is draining is ready in the copy                   | draining | draining |

    Scenario Outline: a rollout <case>
        Given 3 nodes with a rollout to version v2
        When the log is restored and the rollout <case>
        Then no node starts the rollout anew
        And the log holds the state "<state>" once more

        Examples:
            | case                                             | state       |
            | is missing its final state in the copy           | rolled_back |
            | is missing from the copy and is ordered again    | rolled_back |

    Scenario: an order that a later one had replaced is not executed when a restored log contains it again
        Given 3 nodes with a rollout to version v2
        When the rollout is replaced by one to version v3 and the log is restored to a copy from before
        Then every node still follows the rollout to version v3

    Scenario: nodes that are missing from the copy register again, each once and not at the same time
        Given 3 nodes whose addresses are missing from the copy
        When the log is restored
        Then each node registers again once, at least 50 ms apart

    Scenario: the start of a rollout that an earlier release recorded without an era is kept
        Given 3 nodes that start 59 s after the recorded start of a rollout of 60 s
        Then the rollout is completed within 3000 ms
