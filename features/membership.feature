Feature: Membership
    Every node knows which entry VMs are there, at a cost that does not grow with the fleet, and removes no live one.

    Background:
        Given 4 domains of 5 membership nodes each

    Scenario Outline: a death is noticed in its domain within 5 seconds and by all within 10
        When membership node "<node>" dies
        Then within 5 seconds every node of domain "<domain>" holds "<node>" for "dead"
        And within 5 seconds every other node holds "<node>" for "dead"
        And no running node was removed

        Examples:
            | node | domain |
            | a-1  | a      |
            | b-3  | b      |
            | d-5  | d      |

    Scenario: two nodes of a domain die at once
        When membership node "a-2" dies
        And membership node "a-4" dies
        Then within 6 seconds every node of domain "a" holds "a-2" for "dead"
        And within 1 second every node of domain "a" holds "a-4" for "dead"
        And no running node was removed

    Scenario: a graceful leave is known at once
        When membership node "a-2" leaves
        Then within 2 seconds every other node holds "a-2" for "left"
        And within 30 seconds every other node holds "a-2" for "left"

    Scenario: a pause shorter than the suspicion time removes nobody
        When membership node "a-2" is paused for 1500 ms
        Then within 20 seconds every other node holds "a-2" for "alive"
        And no running node was removed

    Scenario: after a pause longer than the suspicion time the node comes back and accuses nobody
        When membership node "a-2" is paused for 30000 ms
        Then within 15 seconds every other node holds "a-2" for "alive"
        And "a-2" was removed at most once by each node
        And node "a-2" removed nobody

    Scenario: a node that stalls again and again accuses nobody
        When membership node "a-2" stalls for 900 ms in every 1000 ms, 30 times
        Then no running node but "a-2" was removed
        And no running node but "a-2" was suspect

    Scenario Outline: a cut of one direction does not remove a live node
        When for 30 seconds messages <cut> are lost
        Then no running node but "<isolated>" was removed
        And node "a-2" removed nobody

        Examples:
            | cut                    | isolated |
            | from "a-1" to "a-2"    | nobody   |
            | from "a-2" to "a-1"    | nobody   |
            | from "a-2" to all      | a-2      |
            | from all to "a-2"      | a-2      |
            | from "a-2" to "b-1"    | nobody   |

    Scenario: a domain that is cut off removes nobody and is removed by nobody
        When domain "a" is cut off for 120 seconds
        Then node "b-1" holds "a-3" for "unreachable"
        And node "a-1" holds "b-3" for "unreachable"
        And node "a-1" holds "a-3" for "alive"
        And no running node was removed
        When the cut of the domain heals
        Then within 15 seconds every node holds every other node for "alive"

    Scenario: a death in a domain that is cut off is noticed there at once, and by the others after the cut
        When domain "a" is cut off for 30 seconds
        And membership node "a-2" dies
        Then within 5 seconds every node of domain "a" holds "a-2" for "dead"
        When the cut of the domain heals
        Then within 15 seconds every other node holds "a-2" for "dead"
        And no running node was removed

    Scenario: a VM list stale by minutes neither hides a new node nor revives a dead one
        Given the membership VM list lags by 300 seconds
        When membership node "a-2" dies
        And membership node "a-9" starts at "10.0.0.9:7000"
        Then within 10 seconds every other node holds "a-9" for "alive"
        And within 60 seconds every other node holds "a-2" for "dead"
        And no running node was removed

    Scenario: a VM list that is down holds up nothing
        Given the membership VM list is down
        When membership node "a-2" dies
        Then within 5 seconds every node of domain "a" holds "a-2" for "dead"
        And no running node was removed

    Scenario: an address that is used again belongs to the new member
        When membership node "a-2" dies
        And membership node "a-9" starts at "10.0.0.2:7000"
        Then within 10 seconds every other node holds "a-9" for "alive"
        And within 1 second every other node holds "a-2" for "dead"
        And within 60 seconds every other node holds "a-9" for "alive"
        And no running node was removed

    Scenario: a VM that restarts under its name is a new member
        When membership node "a-2" dies
        And 500 ms pass for the members
        And membership node "a-2" starts at "10.0.0.2:7000"
        Then within 10 seconds every other node holds the new life of "a-2" for "alive"
        And within 30 seconds every other node holds the new life of "a-2" for "alive"

    Scenario: all nodes restart at once
        When all membership nodes restart at once
        Then within 10 seconds every node holds every other node for "alive"
        And no running node was removed

    Scenario: a peer of the previous protocol version is a member and is not removed
        When membership node "a-2" dies
        And old membership node "a-2" starts at "10.0.0.2:7000"
        And 20000 ms pass for the members
        And all membership nodes but "a-2" restart at once
        Then within 10 seconds every other node of domain "a" holds "a-2" for "alive"
        And within 60 seconds every other node of domain "a" holds "a-2" for "alive"
        When membership node "a-4" dies
        Then within 6 seconds every new node of domain "a" holds "a-4" for "dead"
        And no running node was removed

    Scenario: the cost of a node does not grow with the nodes of the fleet
        Given 4 domains of 16 membership nodes each
        When 30000 ms pass for the members
        And 4 domains of 4 membership nodes each
        And 30000 ms pass for the members
        Then the nodes of the larger fleet sent no more bytes a second than those of the smaller one
