@loopback
Feature: Ends of a relayed call
    A relay before one server of four places. See docs/design/call_exits.md for the table that these cases follow.

    Scenario Outline: a call that <stage> ends with <answer> when <event>
        Given a relay whose "<kind>" call <stage>
        When <event>
        Then the caller of this call gets <answer>

        Examples: nothing happens to it
            | kind   | stage                | event                            | answer                          |
            | unsafe | waits for a place    | a place becomes free             | the server's whole answer       |
            | unsafe | is at its server     | its server answers               | the server's whole answer       |
            | stream | has begun its stream | its server answers               | all events, each once           |

        Examples: a change of the configuration or of the servers is no reason to end it
            | kind   | stage                | event                            | answer                          |
            | unsafe | waits for a place    | its route and key are withdrawn  | the server's whole answer       |
            | unsafe | is at its server     | its route and key are withdrawn  | the server's whole answer       |
            | stream | has begun its stream | its route and key are withdrawn  | all events, each once           |
            | unsafe | is at its server     | its service is removed           | the server's whole answer       |
            | stream | has begun its stream | its service is removed           | all events, each once           |
            | unsafe | is at its server     | the entry of its server is gone  | the server's whole answer       |
            | stream | has begun its stream | the entry of its server is gone  | all events, each once           |
            | unsafe | is at its server     | the limits of callers change     | the server's whole answer       |
            | stream | has begun its stream | the limits of callers change     | all events, each once           |

        Examples: it is ended, and its caller is told whether it may have run
            | kind   | stage                | event                            | answer                          |
            | unsafe | waits for a place    | its time is over                 | 503, as it has not run          |
            | unsafe | is at its server     | its time is over                 | 504, as it may have run         |
            | stream | is at its server     | its time is over                 | 504, as it may have run         |
            | stream | has begun its stream | its time is over                 | an aborted stream               |
            | unsafe | is at its server     | its server closes the connection | 502, as it may have run         |
            | safe   | is at its server     | its server closes the connection | 502, as it may have run         |
            | stream | is at its server     | its server closes the connection | 502, as it may have run         |
            | stream | has begun its stream | its server closes the connection | an aborted stream               |
            | unsafe | waits for a place    | the node fails to send it        | 503, as it has not run          |
            | stream | waits for a place    | the node fails to send it        | 503, as it has not run          |
            | unsafe | is at its server     | the node fails to read its answer | 502, as it may have run        |
            | stream | is at its server     | the node fails to read its answer | 502, as it may have run        |
            | stream | has begun its stream | the node fails to read its answer | an aborted stream              |
            | unsafe | waits for a place    | the node stops                   | 503, as it has not run          |
            | unsafe | is at its server     | the node stops                   | 502, as it may have run         |
            | stream | is at its server     | the node stops                   | 502, as it may have run         |
            | stream | has begun its stream | the node stops                   | an aborted stream               |

    Scenario: a stream whose caller does not read ends with its time, and holds up no drain
        Given a relay whose "stream" call is not read by its caller
        When the time of the unread stream is over and the node is drained
        Then the drain ends within 1000 ms

    Scenario: a caller that resets its connection after asking for a tunnel ends no node
        Given a relay whose "unsafe" call has a request for a tunnel behind it
        When its caller resets the connection
        Then the node still answers calls
