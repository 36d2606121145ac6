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
