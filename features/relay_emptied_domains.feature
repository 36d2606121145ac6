@loopback
Feature: Emptied failure domains before real nodes
    Two relay nodes, each with its own log, and servers in the failure domains zone-a, which the nodes prefer as their own, and zone-b.
    Guards against calls that reach a server of an emptied domain: 191 did on a day on which the orders were not read.

    Scenario Outline: a domain is emptied and taken back under <kind> calls
        Given two relay nodes with 2 servers in zone-a and 2 in zone-b
        And callers send <kind> calls to both nodes all the time
        When zone-a is emptied
        Then no server in zone-a receives a call any more
        When zone-a is taken back and zone-b is emptied
        Then servers in zone-a receive calls again
        And every call was answered as a whole

        Examples:
            | kind             |
            | safe             |
            | unsafe           |
            | stream           |
            | resumable stream |

    Scenario: calls that wait when the last domain is emptied are refused as not run
        Given two relay nodes with 1 servers in zone-a and 0 in zone-b
        When 4 calls run at the server, 2 wait at each node, and zone-a is emptied
        Then the running calls are answered, and the waiting ones are refused as not run with a time to return
        And a call that is sent now is refused in the same way
        When zone-a is taken back
        Then a call that is sent now is answered

    Scenario: a node that starts sends nothing to a domain that was emptied before
        Given two relay nodes with 2 servers in zone-a and 1 in zone-b, started after zone-a was emptied
        When 10 safe calls are sent to each node, one after the other
        Then every call was answered as a whole
        And no server in zone-a has received a call since the order

    Scenario: second attempts stay out of an emptied domain
        Given two relay nodes with 1 servers in zone-a and 2 in zone-b
        And the first server in zone-b resets connections after a run
        When zone-a is emptied
        And 10 safe calls are sent to each node, one after the other
        Then every call was answered as a whole
        And no server in zone-a has received a call since the order

    Scenario: resumed streams stay out of an emptied domain
        Given two relay nodes with 1 servers in zone-a and 2 in zone-b
        And the first server in zone-b breaks its streams within an event
        When zone-a is emptied
        And 10 resumable stream calls are sent to each node, one after the other
        Then every call was answered as a whole
        And no server in zone-a has received a call since the order

    Scenario: calls that are handed to a peer stay out of an emptied domain
        Given two relay nodes with 2 servers in zone-a and 2 in zone-b, of which the first node reaches none
        When zone-a is emptied
        And 10 safe calls are sent to each node, one after the other
        Then every call was answered as a whole
        And no server in zone-a has received a call since the order

    Scenario: an order that a restored log lacks stays in force until it is written again
        Given two relay nodes with 2 servers in zone-a and 2 in zone-b
        And callers send safe calls to both nodes all the time
        When zone-a is emptied, the logs are restored to copies from before, and the order is written again after 800 ms
        Then no server in zone-a receives a call any more
        And no server in zone-a has received a call since the order
        And every call was answered as a whole
