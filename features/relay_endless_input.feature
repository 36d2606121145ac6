@loopback
Feature: Input without end
    One process before three servers, with the memory of a small machine. Servers, peers that take its calls, callers, nodes that hand it
    calls, or the platform's log send bytes without end, in pieces of any size. The process must survive, and the calls of all others must be answered in time.

    # Guards against answers in many small pieces that take all memory of the process (LOST), and against events without end in small
    # pieces that hold up its event loop (CONFIG).
    Scenario Outline: <content> without end in pieces of <size> bytes, sent by <sender>, does not disturb other calls
        Given a relay program with the memory of a small machine before <sender> that send <content> in pieces of <size> bytes
        When <sender> send <content> in pieces of <size> bytes without end, 8 at a time for 4 s
        Then each sound call meanwhile is answered within 1000 ms
        And the program lives and has used less than 178 MB

        Examples:
            | sender      | content  | size  |
            | servers     | a body   | 1     |
            | servers     | a body   | 8     |
            | servers     | a body   | 65536 |
            | servers     | an event | 1     |
            | servers     | an event | 8     |
            | servers     | an event | 65536 |
            | servers     | events   | 1     |
            | servers     | events   | 8     |
            | servers     | events   | 65536 |
            | servers     | comments | 8     |
            | servers     | comments | 65536 |
            | peers       | a body   | 1     |
            | peers       | a body   | 8     |
            | peers       | a body   | 65536 |
            | peers       | an event | 1     |
            | peers       | an event | 8     |
            | peers       | events   | 8     |
            | callers     | a body   | 1     |
            | callers     | a body   | 8     |
            | callers     | a body   | 65536 |
            | other nodes | a body   | 1     |
            | other nodes | a body   | 8     |
            | other nodes | a body   | 65536 |

    # Guards against a process that ends because the refusal of a call is written twice.
    Scenario: a call of another node that was refused in a stop and is then the largest is discarded
        Given a port for calls of nodes with memory for 262144 bytes
        When another node has sent 200000 bytes of a call, the port refuses it, and other input takes 150000 bytes
        Then the other node gets one answer, with status 421

    # Guards against answers of the platform's log that take all memory of a process that starts.
    Scenario Outline: answers of the log without end in pieces of <size> bytes only delay the start
        Given a relay program with the memory of a small machine whose log answers in pieces of <size> bytes without end
        When the log answers properly after 3 s
        Then the program becomes ready
        And the program lives and has used less than 178 MB

        Examples:
            | size  |
            | 1     |
            | 8     |
            | 65536 |
