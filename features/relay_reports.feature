Feature: What the nodes of the relay tell each other
    Each node knows the calls of all others, at a cost for each node that does not grow with the fleet.

    Scenario Outline: <nodes> nodes know each other's calls
        Given <nodes> relay nodes in 4 failure domains that report to each other
        When each node has calls at every server for 6 s
        Then each node counts the calls of all others
        And no node sends more than <sent> reports a second, and all of them no more than <all>

        Examples:
            | nodes | sent | all  |
            | 6     | 30   | 180  |
            | 16    | 75   | 1200 |
            | 91    | 300  | 2400 |

    Scenario Outline: calls that begin and end are known everywhere within <within> ms
        Given <nodes> relay nodes in 4 failure domains that report to each other
        When each node has calls at every server for 6 s
        And each node has other calls at every server for <within> ms
        Then each node counts the calls of all others

        Examples:
            | nodes | within |
            | 16    | 1000   |
            | 91    | 1000   |

    Scenario Outline: nodes that add up the reports of others <fate>
        Given 60 relay nodes in 4 failure domains that report to each other
        When each node has calls at every server for 6 s
        And the nodes that add up reports <fate>
        And each node has other calls at every server for 5 s
        Then each node counts the calls of all others

        Examples:
            | fate                        |
            | stop                        |
            | stop and start again later  |

    Scenario: a failure domain that is cut off counts its own calls and later all again
        Given 60 relay nodes in 4 failure domains that report to each other
        When each node has calls at every server for 6 s
        And one failure domain is cut off for 8 s
        Then each node counts the calls of all others that it can reach
        When the cut heals and 8 s pass
        Then each node counts the calls of all others

    Scenario Outline: the quota of a workspace holds over <nodes> nodes
        Given <nodes> relay nodes in 4 failure domains that report to each other
        And a quota of 40000 tokens a second with a burst of 40000
        When a workspace asks for <asked> tokens a second at all nodes for 20 s
        Then in no 8 s more than <most> tokens are let through at all nodes
        And at least <least> tokens are let through at all nodes

        Examples:
            | nodes | asked  | most   | least  |
            | 60    | 36000  | 400000 | 700000 |
            | 60    | 300000 | 440000 | 700000 |
