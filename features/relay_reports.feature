Feature: Reports between relay nodes
    Each node knows the calls of all others, at a cost per node that does not grow with the fleet.

    Scenario Outline: <nodes> nodes know each other's calls
        Given <nodes> relay nodes in 4 failure domains that report to each other
        When each node has calls at every server for 6 s
        Then each node counts the calls of all others
        And no node sends more than <sent> reports a second, and all nodes together no more than <all>

        Examples:
            | nodes | sent | all  |
            | 6     | 30   | 180  |
            | 16    | 75   | 1200 |
            | 91    | 300  | 2400 |

    Scenario Outline: calls that start and end are known to all nodes within <within> ms
        Given <nodes> relay nodes in 4 failure domains that report to each other
        When each node has calls at every server for 6 s
        And each node has other calls at every server for <within> ms
        Then each node counts the calls of all others

        Examples:
            | nodes | within |
            | 16    | 1000   |
            | 91    | 1000   |

    Scenario Outline: aggregators <fate>
        Given 60 relay nodes in 4 failure domains that report to each other
        When each node has calls at every server for 6 s
        And the aggregators <fate>
        And each node has other calls at every server for 5 s
        Then each node counts the calls of all others

        Examples:
            | fate                   |
            | stop                   |
            | stop and restart later |

    Scenario: an isolated failure domain counts its own calls, and later all calls again
        Given 60 relay nodes in 4 failure domains that report to each other
        When each node has calls at every server for 6 s
        And one failure domain is isolated for 8 s
        Then each node counts the calls of all others that it can reach
        When the partition heals and 8 s pass
        Then each node counts the calls of all others

    Scenario Outline: the quota of a workspace holds across <nodes> nodes
        Given <nodes> relay nodes in 4 failure domains that report to each other
        And a quota of 40000 tokens a second with a burst of 40000
        When a workspace requests <requested> tokens a second at all nodes for 20 s
        Then at most <most> tokens are admitted at all nodes in any 8 s
        And at least <least> tokens are admitted at all nodes

        Examples:
            | nodes | requested | most   | least  |
            | 60    | 36000     | 400000 | 700000 |
            | 60    | 300000    | 440000 | 700000 |
