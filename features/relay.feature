@loopback
Feature: Relay of opaque calls
    Calls and answers are relayed byte for byte. A refusal tells truthfully whether the call ran, and no unsafe call is run twice.

    Scenario Outline: the caller of a <kind> call gets a complete answer or a truthful statement of the call's outcome
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

    Scenario: a call and its answer are forwarded unchanged except for the headers that the node sets
        Given a relay with one server that answers and one that answers
        When a caller sends headers that the node must not forward
        Then the server receives the method, path, query, body and headers of the caller
        And the server receives the workspace, its own id and the remaining time, and neither the key nor headers that only nodes set

    Scenario: a server that states a limit gets no more calls than one and a half times its limit and 5 in 4 s
        Given a relay with one server that answers and one that answers
        And the first server states a limit of "2" calls a second
        When 200 "safe" calls are sent one after the other
        Then each relayed caller gets its own answer
        And the first server has received at least 1 and at most 17 calls

    Scenario: a call whose content has crashed two servers reaches no server again
        Given a relay with one server that resets after a run and one that resets after a run
        When 1 "safe" calls are sent one after the other
        And 1000 ms have passed
        And 1 "safe" calls are sent one after the other
        Then the caller gets status 502, and the servers have received the call 2 times
        And the last caller is told that the call has not run and must not be repeated

    Scenario: a duplicate answer of a server reaches no caller
        Given a relay with one server that answers twice and one that answers
        When 10 "unsafe" calls are sent one after the other
        Then each relayed caller gets its own answer

    Scenario Outline: an interrupted stream continues at another server only if it is resumable
        Given a streaming relay with one server that <fault> and one that answers
        When a "<kind>" call is sent to the faulty server first
        Then the caller gets events 1 to <events>, each once, and the stream is <end>

        Examples:
            | kind             | fault                             | events | end         |
            | resumable stream | breaks its stream within an event | 6      | complete    |
            | stream           | breaks its stream within an event | 3      | interrupted |
            | stream           | answers                           | 6      | complete    |
            | stream           | streams without a length          | 6      | complete    |
            | stream           | ends its stream without a length within an event | 3 | interrupted |
            | resumable stream | ends its stream without a length within an event | 6 | complete    |
            | resumable stream | ends its stream without an event  | 6      | complete    |
            | resumable stream | sends an event without end        | 6      | complete    |
            | stream           | sends an event without end        | 3      | interrupted |

    Scenario Outline: a stream that has begun and cannot be resumed is interrupted, although the next server <fault>
        Given a streaming relay with one server that breaks its stream within an event and one that <fault>
        When a "resumable stream" call is sent to the faulty server first
        Then the caller gets events 1 to 3, each once, and the stream is interrupted
        And the node has logged no error

        Examples:
            | fault                              |
            | answers 400                        |
            | fails                              |
            | answers 503 after a run            |
            | says that it is full               |
            | is another server                  |
            | ends within its head               |
            | answers without a seal             |
            | answers another call               |
            | ends its stream without an event   |

    Scenario Outline: no caller is told that a call has not run because a server <fault>
        Given a relay with one server that <fault> and one that <fault>
        When 40 "unsafe" calls are sent one after the other
        Then no call has run twice, and none that has run was refused

        Examples:
            | fault                                                             |
            | repeats a refusal with it                                         |
            | repeats a refusal after it                                        |
            | repeats a refusal before the next answer                          |
            | repeats half of a refusal after it and half before the next answer |

    Scenario Outline: a server that <fault> is cut off, and its <kind> call ends like one that failed
        Given a <relay> with one server that <fault> and one that answers
        When a "<kind>" call is sent to the faulty server first
        Then the caller gets status <status> before its deadline
        And the faulty server has sent at most 32 MiB without end, and its connection is closed

        Examples:
            | relay           | kind             | fault                           | status |
            | relay           | unsafe           | sends a head without end        | 502    |
            | relay           | safe             | sends a head without end        | 200    |
            | relay           | unsafe           | sends a body without end        | 502    |
            | relay           | safe             | sends a body without end        | 200    |
            | relay           | unsafe           | refuses with a body without end | 200    |
            | relay           | unsafe           | sends interim heads without end | 502    |
            | streaming relay | stream           | ends its stream without an event | 502    |
            | streaming relay | stream           | sends an event without end      | 200    |
            | streaming relay | resumable stream | sends an event without end      | 200    |
            | streaming relay | stream           | sends a head without end        | 502    |

    Scenario Outline: a call that the configuration doesn't allow is refused without reaching a server
        Given a relay with one server that answers and one that answers
        When a relayed call with <trait> is sent
        Then the caller gets status <status>, and the servers have received the call 0 times

        Examples:
            | trait            | status |
            | an unknown host  | 404    |
            | an unknown path  | 404    |
            | an unknown key   | 401    |
            | no key           | 401    |
            | no id            | 400    |
            | two ids          | 400    |
            | too large a body | 413    |
            | too large a head | 431    |

    Scenario: a node without a configuration refuses calls and asks to retry
        Given a relay whose store is down
        When a "safe" call is sent
        Then the caller gets status 503 and a Retry-After header
        And the node is not ready

    Scenario: a call that exceeds its route's timeout gets its final answer at the timeout
        Given a relay with one server that hangs and one that hangs
        When an "unsafe" call is sent on a route of 300 ms
        Then the caller gets status 504 after 250 ms to 450 ms

    Scenario Outline: a <kind> call whose time is over before its connection is open reaches no server
        Given a relay that stays busy for 6000 ms between the placement of a call and the opening of its connection
        When a "<kind>" call is sent
        Then the caller gets status 503, and the servers have received the call 0 times

        Examples:
            | kind   |
            | unsafe |
            | safe   |

    Scenario: a caller that disconnects frees the server
        Given a relay with one server that hangs and one that hangs
        When an "unsafe" call is sent and its caller disconnects after 100 ms
        Then the server's connection is closed within 300 ms

    Scenario Outline: the connection of a call that is given up is reset, so that no held bytes reach the server later
        Given a relay with one server that hangs and one that hangs
        When <end>
        Then the server's connection is reset within 300 ms

        Examples:
            | end                                                               |
            | an "unsafe" call is sent and its caller disconnects after 100 ms  |
            | a "short" call is sent                                            |

    Scenario: a revoked key is refused, also when an older configuration is written again
        Given a relay with one server that answers and one that answers
        When the configuration revokes the caller's key
        Then a "safe" call gets status 401 within 1000 ms
        When an older configuration is written again
        Then a "safe" call still gets status 401

    Scenario: a draining server gets no new calls
        Given a relay with one server that answers and one that answers
        When the first server reports that it is draining
        Then within 1500 ms no further call reaches it

    Scenario: malformed server entries do not affect other servers
        Given a relay with one server that answers and one that answers
        When other writers add malformed server entries
        Then a "safe" call still gets status 200

    Scenario: a node whose position in the log was compacted continues from the newest records
        Given a relay with one server that answers and one that answers
        When the store compacts its history while the configuration revokes the caller's key
        Then a "safe" call gets status 401 within 1500 ms

    Scenario: a node whose store came back from an older copy keeps its configuration and follows the next one
        Given a relay with one server that answers and one that answers
        And the store is copied
        When the configuration revokes the caller's key in 4 versions
        Then a "safe" call gets status 401 within 1000 ms
        When the store comes back from the copy
        Then a "safe" call still gets status 401
        When the configuration admits the caller's key again
        Then a "safe" call gets status 200 within 2000 ms

    Scenario: a draining node interrupts no call
        Given a relay with one server that answers and one that answers
        And calls take 400 ms
        When the node is drained while 5 "unsafe" calls are in flight on keep-alive connections
        Then each relayed caller gets its own answer
        And the node was not ready while it was drained
