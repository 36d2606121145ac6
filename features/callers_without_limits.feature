@loopback
Feature: Callers that keep to no limit
    One daemon with low limits: bodies of 1 MiB, 8 MiB of them at a time, 128 connections. 60 callers send what no call needs and stay; each
    one whose connection is closed comes back. The daemon must live, keep its memory and descriptors, answer ordinary calls, and end when told.

    # Guards against bodies that hold up the event loop for as long as their chunks are parsed, also after their callers have left,
    # and against input that takes all memory of the process.
    Scenario Outline: <content> sent to <path> do not disturb other calls
        Given a daemon with low limits on input
        When 60 callers send <content> to <path>
        Then an ordinary call is answered
        When the callers leave
        Then an ordinary call is answered
        When 60 callers send <content> to <path>
        Then an ordinary call is answered
        And the daemon lives and has used less than 170 MB and has fewer than 160 descriptors
        And the daemon ends after SIGTERM

        Examples:
            | content                                         | path                 |
            | 1000000 bytes in chunks of 1 that stop short    | /v1/chat/completions |
            | 1000000 bytes in chunks of 65536 that stop short | /v1/chat/completions |
            | bytes without end in chunks of 1                | /v1/chat/completions |
            | bytes without end in chunks of 65536            | /v1/chat/completions |
            | bodies of 100000000 bytes, announced            | /v1/chat/completions |
            | heads without end                               | /v1/chat/completions |
            | heads that stop after 30000 bytes               | /v1/chat/completions |
            | bytes without end in chunks of 1                | /metrics             |
            | bytes without end in chunks of 65536            | /metrics             |

    # Guards against a paced connection that is not read on.
    Scenario Outline: a call of <bytes> bytes in chunks of 1 is answered when there is no other load
        Given a daemon with low limits on input
        Then a call of <bytes> bytes in chunks of 1 is answered
        And an ordinary call is answered

        Examples:
            | bytes  |
            | 500    |
            | 10000  |
            | 100000 |
            | 500000 |

    # Guards against incomplete gRPC messages that take all memory of the process.
    Scenario: incomplete messages to the port of peers and operators do not disturb calls
        Given a daemon with low limits on input
        When 10 peers each send 10 messages of 7900000 bytes that stop short
        Then an ordinary call is answered
        And the daemon lives and has used less than 170 MB and has fewer than 160 descriptors
        And the metric "foxtailrail_evictions" is over 0
        And the daemon ends after SIGTERM

    # Guards against callers that keep all others out with connections that come to nothing.
    Scenario Outline: <count> callers that send <content> do not keep others out
        Given a daemon with low limits on input
        When <count> callers send <content> to /v1/chat/completions
        And the crowd stays for a while
        Then an ordinary call is answered at one of its attempts
        When the callers leave
        Then an ordinary call is answered at one of its attempts
        And the daemon lives and has used less than 170 MB and has fewer than 160 descriptors
        And the daemon ends after SIGTERM

        Examples:
            | count | content                                     |
            | 300   | nothing                                     |
            | 300   | heads that stop after 100 bytes             |
            | 300   | 2000 bytes in chunks of 500 that stop short |
            | 300   | 2000 bytes of 900000 announced              |

    # Guards against heads that take the heap of the process while their bodies do not come.
    Scenario Outline: <count> callers that send <content> do not end a daemon with a small heap
        Given a daemon with a heap of 48 MB
        When <count> callers send <content> to /v1/chat/completions
        And the crowd stays for a while
        Then an ordinary call is answered at one of its attempts
        And the daemon lives and has used less than 170 MB and has fewer than 2500 descriptors
        And the daemon ends after SIGTERM

        Examples:
            | count | content                                        |
            | 2000  | heads of 90 fields before bodies that stop short |
            | 2000  | heads that stop after 90 fields                  |

    # Guards against clients of the other port that take all descriptors of the process.
    Scenario Outline: <count> clients that send <content> to the port of peers and operators do not keep callers out
        Given a daemon with 400 descriptors
        When <count> clients send <content> to the port of peers and operators
        Then an ordinary call is answered at one of its attempts
        And the daemon lives and has used less than 170 MB and has fewer than 400 descriptors
        And the daemon ends after SIGTERM

        Examples:
            | count | content                         |
            | 500   | nothing                         |
            | 500   | heads that stop after 100 bytes |
