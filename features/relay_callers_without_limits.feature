@loopback
Feature: Callers of a relay node that keep to no limit
    One process with a small heap, little memory or few descriptors, before one server. A crowd of callers sends what no call needs and
    stays; each one whose connection is closed comes back. The process must live, stay within its memory, keep descriptors for itself,
    answer ordinary calls, and end when told.

    # Guards against heads whose fields and parts take the heap of the process while their bodies do not come.
    Scenario Outline: <count> callers with <content> do not end a process with a small heap
        Given a relay program with a heap of 48 MB and memory of 144 MB
        When <count> callers send <content> to the port for callers
        Then an ordinary call to the program is answered
        When the crowd leaves
        Then an ordinary call to the program is answered
        When <count> callers send <content> to the port for callers
        Then an ordinary call to the program is answered
        And the program lives, has used less than 144 MB and answers SIGTERM

        Examples:
            | count | content                                                     |
            | 900   | heads of 300 fields before bodies that stop short           |
            | 400   | heads of 900 fields before bodies that stop short           |
            | 300   | heads of 2000 prompt parts before bodies that stop short    |
            | 900   | heads that stop after 900 fields                            |
            | 900   | heads that stop after 14000 bytes                           |
            | 900   | 2000 bytes in chunks of 500 that stop short                 |
            | 900   | 2000 bytes in chunks of 1 that stop short                   |
            | 60    | 1000000 bytes in chunks of 65536 that stop short            |
            | 60    | 1000000 bytes in chunks of 1 that stop short                |
            | 60    | bytes without end in chunks of 65536                        |
            | 60    | bodies of 100000000 bytes, announced                        |

    # Guards against the parsed heads of calls that wait for a server.
    Scenario Outline: <count> callers with <content> that wait for a server do not end a process with a small heap
        Given a relay program with a heap of 48 MB and memory of 144 MB
        And its server takes 4000 ms for a call
        When <count> callers send <content> to the port for callers
        And the crowd leaves
        And its server takes 5 ms for a call
        Then an ordinary call to the program is answered
        And the program lives, has used less than 144 MB and answers SIGTERM

        Examples:
            | count | content                             |
            | 600   | whole calls with heads of 900 fields |

    # Guards against callers that hold all descriptors of the process, so that nobody else is answered.
    Scenario Outline: <count> callers with <content> to the port for <port> do not take all descriptors
        Given a relay program with memory of 200 MB and 400 descriptors
        When <count> callers send <content> to the port for <port>
        Then an ordinary call to the program is answered
        And the readiness check is answered
        When the crowd leaves
        Then an ordinary call to the program is answered
        When <count> callers send <content> to the port for <port>
        Then an ordinary call to the program is answered
        And the program has fewer than 400 descriptors
        And the program lives, has used less than 200 MB and answers SIGTERM

        Examples:
            | count | port      | content                                     |
            | 500   | callers   | nothing                                     |
            | 500   | callers   | heads that stop after 100 bytes             |
            | 500   | callers   | 2000 bytes in chunks of 500 that stop short |
            | 500   | callers   | 2000 bytes of 4000000 announced             |
            | 500   | peers     | nothing                                     |
            | 500   | peers     | 2000 bytes in chunks of 500 that stop short |
            | 500   | readiness | nothing                                     |
            | 500   | readiness | 2000 bytes in chunks of 500 that stop short |

    # A limit must not meet a call that stays within those of the configuration.
    Scenario Outline: <call> is answered when there is no other load
        Given a relay program with a heap of 48 MB and memory of 144 MB
        Then a call with <call> is answered

        Examples:
            | call                                          |
            | a head of 1500 fields                         |
            | a head of 2000 prompt parts                   |
            | a body of 4000000 bytes in chunks of 65536    |
            | a body of 100000 bytes in chunks of 1         |
            | a body that pauses for 6 s                    |

    # Guards against bodies that stop and hold their connections for as long as there is no pressure.
    Scenario: a call whose body stops is refused once its caller waits no longer
        Given a relay program with a heap of 48 MB and memory of 144 MB
        When a call whose caller waits for 1500 ms stops within its body
        Then it is answered with 408, and its connection is closed
        And no call has reached the server
