@loopback
Feature: Errors inside a relay node
    An error inside a node costs the call that it happens in at most. Its caller is told truthfully whether it can have run.

    Scenario Outline: a call during which a part of the node fails once gets a truthful answer and keeps nothing
        Given a relay with two servers whose <part> fails once
        When an "unsafe" call is sent to it
        Then its caller gets status <status>, and servers have run it <times> times
        And the node has logged one error and the end of the call
        And the node keeps no slot, and serves 20 further calls

        Examples:
            | part                                  | status | times |
            | check of the quota                    | 503    | 0     |
            | fingerprint of calls                  | 503    | 0     |
            | retry budget                          | 503    | 0     |
            | quarantine at the start               | 503    | 0     |
            | scheduler                             | 503    | 0     |
            | choice of a server                    | 503    | 0     |
            | observer of sent calls                | 503    | 0     |
            | quarantine of sent calls              | 503    | 0     |
            | watch of attempts                     | 503    | 0     |
            | client                                | 503    | 0     |
            | writing of headers                    | 503    | 0     |
            | reading of an answer's headers        | 502    | 1     |
            | record of heads                       | 502    | 1     |
            | statements of servers                 | 502    | 1     |
            | record of first events                | 502    | 1     |
            | quarantine of answers                 | 502    | 1     |
            | writing of a complete answer          | 502    | 1     |
            | release of a slot                     | 200    | 1     |
            | observer of ended calls               | 200    | 1     |

    Scenario: a server for which no connection pool can be made costs no call
        Given a relay with two servers whose connection pool fails once
        When an "unsafe" call is sent to it
        Then its caller gets status 200, and servers have run it 1 times
        And the node keeps no slot, and serves 20 further calls

    Scenario Outline: a stream during which a part of the node fails once is broken off without an error's text and keeps nothing
        Given a streaming relay with two servers whose <part> fails once
        When a "stream" call is sent to it
        Then its stream is a part of the events, and breaks off
        And the node has logged one error and the end of the call
        And the node keeps no slot, and serves 20 further calls

        Examples:
            | part                             |
            | splitting of the fourth chunk    |
            | writing of an event              |

    Scenario Outline: a call whose detour fails inside a node gets a truthful answer and keeps nothing
        Given two relay nodes of which the first reaches no server, and a <part> that fails once at the <node>
        When 3 "unsafe" calls are sent to the first
        Then the first of the detours ends with status <status>, and the others with 200
        And neither node keeps a slot or a detour

        Examples:
            | node   | part             | status |
            | first  | message of calls | 503    |
            | first  | client of peers  | 503    |
            | second | scheduler        | 503    |
            | second | watch            | 503    |
            | second | record of heads  | 502    |
