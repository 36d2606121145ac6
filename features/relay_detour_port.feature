@loopback
Feature: Port on which nodes hand calls to each other, end to end on loopback
    Two relay nodes before two servers. The first node reaches neither server.

    Scenario Outline: a <kind> call at a node whose attempts to connect to servers <fault> is served once, by way of the other node
        Given two relay nodes, and the attempts of the first one to connect to servers <fault>
        When 5 "<kind>" calls are sent to the first node, one after the other
        Then each of them gets the complete answer of a server
        And each of them has reached servers once, with the deadline, workspace and headers of its caller and without the key

        Examples:
            | kind             | fault       |
            | safe             | are refused |
            | unsafe           | are refused |
            | stream           | are refused |
            | resumable stream | are refused |
            | safe             | hang        |
            | unsafe           | hang        |
            | stream           | hang        |

    Scenario: a call that took a detour is cancelled at its server within half a second after its caller left
        Given two relay nodes, and the attempts of the first one to connect to servers are refused
        When a caller of the first node leaves while a server works on its call
        Then the server's connection ends within 500 ms

    Scenario: a server's own error reaches the caller of a call that took a detour unchanged
        Given two relay nodes, and the attempts of the first one to connect to servers are refused
        When a call that servers fail is sent to the first node
        Then its caller gets status 500 with the seal of the server

    Scenario: a sender that is no node of the fleet gets no call served on the port for other nodes
        Given two relay nodes, and the attempts of the first one to connect to servers are refused
        When a stranger sends a call to the port for other nodes
        Then the stranger gets status 403, and no server has received a call

    Scenario: a caller who sends a call of nodes to the port for callers gets no call served
        Given two relay nodes, and the attempts of the first one to connect to servers are refused
        When a caller sends a call of nodes to the port for callers
        Then the caller gets status 404, and no server has received a call

    Scenario: callers are refused with a time to return while no node reaches a server
        Given two relay nodes, and the attempts of both to connect to servers are refused
        When 3 "unsafe" calls are sent to the first node, one after the other
        Then each of them is refused with a time to return

    # Guards against an answer of the HTTP library in place of that of a call that runs, which its node takes for a call that has not run.
    Scenario Outline: <bytes> behind a call of another node get no answer in its place
        Given a port for calls of nodes that serves each in 300 ms
        When another node sends a call and <bytes> behind it
        Then it gets no status but that of its call

        Examples:
            | bytes                  |
            | bytes that are no call |
            | a head of 100 kB       |
            | a cut head             |

    # Guards against an answer of the HTTP library that is taken for the statement of a peer that a call has not run.
    Scenario Outline: a peer's answer with status <status> that <form> generates <meaning>
        Given a peer that answers each call with <status> as <form> does
        When a call is handed to it
        Then its answer <meaning>

        Examples:
            | status | form             | meaning                        |
            | 400    | the HTTP library | leaves open whether it has run |
            | 408    | the HTTP library | leaves open whether it has run |
            | 431    | the HTTP library | leaves open whether it has run |
            | 503    | the HTTP library | leaves open whether it has run |
            | 400    | a node           | states that it has not run     |
            | 421    | a node           | states that it has not run     |
            | 503    | a node           | states that it has not run     |
            | 403    | an older node    | states that it has not run     |
            | 421    | an older node    | states that it has not run     |
