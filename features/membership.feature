Feature: Membership
    Every node knows which entry VMs are alive, at a cost that does not grow with the fleet, and removes no live member.

    Background:
        Given 4 domains of 5 membership nodes each

    Scenario Outline: a crash is detected in its domain within 5 seconds and by all nodes within 10
        When membership node "<node>" crashes
        Then within 5 seconds every node of domain "<domain>" sees "<node>" as "dead"
        And within 5 seconds every other node sees "<node>" as "dead"
        And no running node was removed

        Examples:
            | node | domain |
            | a-1  | a      |
            | b-3  | b      |
            | d-5  | d      |

    Scenario: two nodes of a domain crash at once
        When membership node "a-2" crashes
        And membership node "a-4" crashes
        Then within 6 seconds every node of domain "a" sees "a-2" as "dead"
        And within 1 second every node of domain "a" sees "a-4" as "dead"
        And no running node was removed

    Scenario: a graceful leave is known to every node within 2 seconds
        When membership node "a-2" leaves
        Then within 2 seconds every other node sees "a-2" as "left"
        And within 30 seconds every other node sees "a-2" as "left"

    Scenario: a pause shorter than the suspicion timeout removes no member
        When membership node "a-2" is paused for 1500 ms
        Then within 20 seconds every other node sees "a-2" as "alive"
        And no running node was removed

    Scenario: a node rejoins after a pause longer than the suspicion timeout and removes no member
        When membership node "a-2" is paused for 30000 ms
        Then within 15 seconds every other node sees "a-2" as "alive"
        And "a-2" was removed at most once by each node
        And node "a-2" removed no member

    Scenario: a node that stalls repeatedly causes no other member to be suspected
        When membership node "a-2" stalls for 900 ms in every 1000 ms, 30 times
        Then no running node but "a-2" was removed
        And no running node but "a-2" was suspect

    Scenario Outline: message loss in one direction removes no node but an isolated one
        When for 30 seconds messages <direction> are lost
        Then no running node but "<isolated>" was removed
        And node "a-2" removed no member

        Examples:
            | direction           | isolated |
            | from "a-1" to "a-2" | nobody   |
            | from "a-2" to "a-1" | nobody   |
            | from "a-2" to all   | a-2      |
            | from all to "a-2"   | a-2      |
            | from "a-2" to "b-1" | nobody   |

    Scenario: a partitioned domain removes no member and loses none
        When domain "a" is partitioned from the others for 120 seconds
        Then node "b-1" sees "a-3" as "unreachable"
        And node "a-1" sees "b-3" as "unreachable"
        And node "a-1" sees "a-3" as "alive"
        And no running node was removed
        When the partition heals
        Then within 15 seconds every node sees every other node as "alive"

    Scenario: a crash in a partitioned domain is detected there at once, and by the others after the partition
        When domain "a" is partitioned from the others for 30 seconds
        And membership node "a-2" crashes
        Then within 5 seconds every node of domain "a" sees "a-2" as "dead"
        When the partition heals
        Then within 15 seconds every other node sees "a-2" as "dead"
        And no running node was removed

    Scenario: a VM list stale by minutes neither hides a new node nor revives a dead one
        Given the membership VM list lags by 300 seconds
        When membership node "a-2" crashes
        And membership node "a-9" starts at "10.0.0.9:7000"
        Then within 10 seconds every other node sees "a-9" as "alive"
        And within 60 seconds every other node sees "a-2" as "dead"
        And no running node was removed

    Scenario: failures are detected while the VM list is down
        Given the membership VM list is down
        When membership node "a-2" crashes
        Then within 5 seconds every node of domain "a" sees "a-2" as "dead"
        And no running node was removed

    Scenario: a reused address belongs to the new member
        When membership node "a-2" crashes
        And membership node "a-9" starts at "10.0.0.2:7000"
        Then within 10 seconds every other node sees "a-9" as "alive"
        And within 1 second every other node sees "a-2" as "dead"
        And within 60 seconds every other node sees "a-9" as "alive"
        And no running node was removed

    Scenario: a VM that restarts under its name is a new member
        When membership node "a-2" crashes
        And 500 ms pass for the members
        And membership node "a-2" starts at "10.0.0.2:7000"
        Then within 10 seconds every other node sees the restarted process of "a-2" as "alive"
        And within 30 seconds every other node sees the restarted process of "a-2" as "alive"

    Scenario: all nodes restart at once
        When all membership nodes restart at once
        Then within 10 seconds every node sees every other node as "alive"
        And no running node was removed

    Scenario: a peer of the previous protocol version is a member and is not removed
        When membership node "a-2" crashes
        And membership node "a-2" of the previous protocol version starts at "10.0.0.2:7000"
        And 20000 ms pass for the members
        And all membership nodes but "a-2" restart at once
        Then within 10 seconds every other node of domain "a" sees "a-2" as "alive"
        And within 60 seconds every other node of domain "a" sees "a-2" as "alive"
        When membership node "a-4" crashes
        Then within 6 seconds every new node of domain "a" sees "a-4" as "dead"
        And no running node was removed

    Scenario: a node's traffic does not grow with the size of the fleet
        Given 4 domains of 16 membership nodes each
        When 30000 ms pass for the members
        And 4 domains of 4 membership nodes each
        And 30000 ms pass for the members
        Then the nodes of the larger fleet sent no more bytes a second than those of the smaller one
