@loopback
Feature: Answers on connections that are used again
    A server or a peer sends its last answer on a connection once more before the next one.

    Scenario Outline: no caller gets an earlier answer that a server sends once more
        Given a relay whose server sends each answer once more before the next, <form>
        When 8 "<kind>" calls are sent over kept connections
        Then no caller gets the answer of another call, and none whose call has run is told that it has not

        Examples:
            | kind             | form                              |
            | unsafe           | with its length                   |
            | safe             | with its length                   |
            | unsafe           | in chunks                         |
            | unsafe           | without a length                  |
            | unsafe           | after an interim head             |
            | unsafe           | and refuses every other call      |
            | stream           | as a stream                       |
            | resumable stream | as a stream                       |
            | stream           | as a stream without a length      |
            | stream           | as a stream, and refuses every other call |

    Scenario Outline: no caller gets an earlier answer that a peer sends once more
        Given a relay that reaches no server, and whose peer sends each answer once more before the next, <form>
        When 8 "<kind>" calls are sent over kept connections
        Then no caller gets the answer of another call, and none whose call has run is told that it has not

        Examples:
            | kind             | form                              |
            | unsafe           | with its length                   |
            | unsafe           | in chunks                         |
            | unsafe           | without a length                  |
            | unsafe           | after an interim head             |
            | unsafe           | and refuses every other call      |
            | stream           | as a stream                       |
            | stream           | as a stream without a length      |
            | stream           | as a stream, and refuses every other call |
