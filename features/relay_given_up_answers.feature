@loopback
Feature: Answers without a length that are given up
    An answer without a length ends with its connection. The process must survive when it closes that connection itself.

    Scenario Outline: a caller that leaves while its server <fault> ends no process
        Given a streaming relay with one server that <fault> and one that <fault>
        When an "stream" call is sent and its caller disconnects after 100 ms
        Then the server's connection is closed within 300 ms

        Examples:
            | fault                                                 |
            | stops within an answer without a length               |
            | stops within an answer with an unknown transfer coding |

    Scenario: an answer without a length that reaches its route's timeout ends no process
        Given a relay with one server that stops within an answer without a length and one that stops within an answer without a length
        When an "unsafe" call is sent on a route of 300 ms
        Then the caller gets status 504 after 250 ms to 450 ms
        And the server's connection is closed within 300 ms

    Scenario: an answer without a length to another call ends no process
        Given a relay with one server that answers another call without a length and one that answers
        When a "safe" call is sent to the faulty server first
        Then the caller gets status 200, and the servers have received the call 2 times
        And the server's connection is closed within 300 ms

    Scenario: an answer without a length and without end ends no process
        Given a relay with one server that sends a body without a length and without end and one that answers
        When a "safe" call is sent to the faulty server first
        Then the caller gets status 200 before its deadline
        And the faulty server has sent at most 32 MiB without end, and its connection is closed
