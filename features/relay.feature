Feature: Relay of opaque calls
    Calls go to a backend server and back byte by byte; a refusal is true, and a call that may not be repeated is not.

    Scenario Outline: the caller of a <kind> call gets a whole answer or a true statement of what became of the call
        Given a relay with one server that <fault> and one that answers
        When a "<kind>" call is sent to the faulty server first
        Then the caller gets status <status>, and the servers have received the call <times> times

        Examples:
            | kind   | fault                             | status | times |
            | unsafe | answers                           | 200    | 1     |
            | unsafe | answers without a length          | 200    | 1     |
            | unsafe | resets an answer without a length | 502    | 1     |
            | unsafe | answers another call              | 502    | 1     |
            | unsafe | says that it is full              | 200    | 2     |
            | unsafe | is another server                 | 200    | 2     |
            | unsafe | fails                             | 500    | 1     |
            | unsafe | answers 503 after a run           | 502    | 1     |
            | unsafe | resets after a run                | 502    | 1     |
            | unsafe | answers without a seal            | 502    | 1     |
            | unsafe | answers in another encoding       | 502    | 1     |
            | unsafe | answers twice                     | 200    | 1     |
            | safe   | resets an answer without a length | 200    | 2     |
            | safe   | answers another call              | 200    | 2     |
            | safe   | fails                             | 200    | 2     |
            | safe   | answers 503 after a run           | 200    | 2     |
            | safe   | resets after a run                | 200    | 2     |
            | safe   | answers without a seal            | 200    | 2     |

    Scenario: a call and its answer are passed on unchanged, but for the headers that the node sets
        Given a relay with one server that answers and one that answers
        When a relayed call has headers of its own that the node must not pass on
        Then the server receives the method, path, query, body and headers of the caller
        And the server receives the workspace, its own id and the time left, and neither the key nor headers that only nodes set

    Scenario: the second answer of a server is given to nobody
        Given a relay with one server that answers twice and one that answers
        When 10 "unsafe" calls are sent one after the other
        Then each relayed caller gets its own answer

    Scenario Outline: a stream that breaks goes on elsewhere only if it may be resumed
        Given a relay of streams with one server that <fault> and one that answers
        When a "<kind>" call is sent to the faulty server first
        Then the caller gets events 1 to <events>, each once, and the stream is <end>

        Examples:
            | kind             | fault                              | events | end        |
            | resumable stream | breaks its stream within an event  | 6      | whole      |
            | stream           | breaks its stream within an event  | 3      | broken off |
            | stream           | answers                            | 6      | whole      |

    Scenario Outline: a call that the configuration doesn't allow is refused without reaching a server
        Given a relay with one server that answers and one that answers
        When a relayed call with <trait> is sent
        Then the caller gets status <status>, and the servers have received the call 0 times

        Examples:
            | trait              | status |
            | an unknown host    | 404    |
            | an unknown path    | 404    |
            | an unknown key     | 401    |
            | no key             | 401    |
            | no id              | 400    |
            | two ids            | 400    |
            | too large a body   | 413    |

    Scenario: a node without a configuration says that a call has not run
        Given a relay whose store is down
        When a "safe" call is sent
        Then the caller gets status 503 and a time to come back
        And the node is not ready

    Scenario: a call beyond its route's time gets its final answer then
        Given a relay with one server that hangs and one that hangs
        When an "unsafe" call is sent on a route of 300 ms
        Then the caller gets status 504 after 250 ms to 450 ms

    Scenario: a caller who leaves frees the server
        Given a relay with one server that hangs and one that hangs
        When an "unsafe" call is sent and its caller leaves after 100 ms
        Then the server's connection is closed within 300 ms

    Scenario: a key that is taken away, a route that moves and a server that leaves are followed
        Given a relay with one server that answers and one that answers
        When the configuration takes the caller's key away
        Then a "safe" call gets status 401 within 1000 ms
        When an older configuration comes again
        Then a "safe" call still gets status 401

    Scenario: a leaving server gets no new calls
        Given a relay with one server that answers and one that answers
        When the first server reports that it is leaving
        Then within 1500 ms no further call reaches it

    Scenario: entries that cannot be read name no server and harm no other
        Given a relay with one server that answers and one that answers
        When entries of other writers come that cannot be read
        Then a "safe" call still gets status 200

    Scenario: history that the store has deleted is replaced by the newest records
        Given a relay with one server that answers and one that answers
        When the store deletes its history while the configuration takes the caller's key away
        Then a "safe" call gets status 401 within 1500 ms

    Scenario: a node that leaves cuts no call
        Given a relay with one server that answers and one that answers
        And calls take 400 ms
        When the node is drained while 5 "unsafe" calls are under way on kept connections
        Then each relayed caller gets its own answer
        And the node was not ready while it was drained
