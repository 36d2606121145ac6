@loopback
Feature: Calls behind others on their connection
    A stream that has begun and cannot be completed is broken off by closing its connection. The calls behind it get no answer, so they must
    not have been passed on.

    Scenario Outline: a call is not cut after it was passed on because the stream in front of it is broken off
        Given a relay and a "<first>" call whose server <fault>
        When a "<second>" call is written <moment>, and the time of the first one ends after <deadline> ms
        Then the first answer is broken off, and the second call reaches a server 0 times

        Examples:
            | first            | fault                                        | second           | moment          | deadline |
            | stream           | stops within its stream                      | safe             | behind its head | 600      |
            | stream           | stops within its stream                      | unsafe           | behind its head | 600      |
            | stream           | stops within its stream                      | stream           | behind its head | 600      |
            | stream           | stops within its stream                      | resumable stream | behind its head | 600      |
            | stream           | stops within its stream                      | safe             | with it         | 600      |
            | stream           | stops within its stream                      | unsafe           | with it         | 600      |
            | stream           | stops within its stream                      | stream           | with it         | 600      |
            | resumable stream | stops within its stream                      | unsafe           | behind its head | 600      |
            | resumable stream | stops within its stream                      | unsafe           | with it         | 600      |
            | stream           | breaks its stream within an event            | unsafe           | with it         | 5000     |
            | stream           | breaks its stream within an event            | safe             | with it         | 5000     |
            | stream           | ends its stream without a length within an event | unsafe       | with it         | 5000     |
            | stream           | sends an event without end                   | unsafe           | behind its head | 600      |

    Scenario Outline: a call is not cut after it was passed on because a stream between it and an open answer is broken off
        Given a relay and a "<first>" call whose server takes 500 ms
        When a "stream" call that is broken off and a "<second>" call are written behind it
        Then the first answer is whole, and the last call reaches a server 0 times

        Examples:
            | first  | second |
            | unsafe | unsafe |
            | safe   | stream |

    Scenario Outline: a call behind <what> is passed on once the answer in front of it is whole
        Given a relay and a "<first>" call whose server <fault>
        When a "<second>" call is written <moment>, and the time of the first one ends after 1500 ms
        Then the answers have the statuses <statuses>, and the second call reaches a server 1 times and <time>

        Examples:
            | what                    | first            | fault                            | second           | moment          | statuses | time                    |
            | a stream                | stream           | pauses after its first event     | unsafe           | behind its head | 200 200  | after the first answer  |
            | a stream                | stream           | pauses after its first event     | stream           | behind its head | 200 200  | after the first answer  |
            | a resumable stream      | resumable stream | pauses after its first event     | safe             | behind its head | 200 200  | after the first answer  |
            | a stream not begun      | stream           | pauses after its first event     | unsafe           | with it         | 200 200  | after the first answer  |
            | a failed stream         | stream           | fails                            | unsafe           | with it         | 500 500  | after the first answer  |
            | a rejected stream       | stream           | answers 400                      | unsafe           | with it         | 400 400  | after the first answer  |
            | an answer with a length | unsafe           | hangs                            | unsafe           | behind its head | 504 200  | before the first answer |
            | an answer with a length | safe             | hangs                            | stream           | behind its head | 504 200  | before the first answer |

    Scenario Outline: a held call whose time ends before its turn is refused without having run
        Given a relay and a "stream" call whose server pauses after its first event
        When a "<second>" call with a deadline of <deadline> ms is written behind its head
        Then the answers have the statuses 200 503, and the second call reaches a server 0 times

        Examples:
            | second | deadline |
            | safe   | 300      |
            | unsafe | 300      |
            | stream | 300      |

    Scenario Outline: a call behind a stream of a caller of HTTP/1.0, whose end closes the connection, is not passed on
        Given a relay and a "stream" call whose server pauses after its first event
        When a "<second>" call of a caller of HTTP/1.0 is written <moment>
        Then the first answer ends with its connection, and the second call reaches a server 0 times

        Examples:
            | second | moment          |
            | unsafe | with it         |
            | unsafe | behind its head |

    Scenario Outline: a call that is held when its node stops is not passed on without an answer
        Given a relay and a "stream" call whose server <fault>
        When the node is drained while a "unsafe" call is held behind its head
        Then <end>, and the second call reaches a server <times> times

        Examples:
            | fault                        | end                                  | times |
            | stops within its stream      | the first answer is broken off       | 0     |
            | pauses after its first event | the answers have the statuses 200 200 | 1    |

    Scenario: a held call whose caller leaves is not passed on
        Given a relay and a "stream" call whose server pauses after its first event
        When a "unsafe" call is written behind its head, and the caller leaves
        Then the second call reaches a server 0 times within 1000 ms and is not counted as cut

    Scenario: calls that are not passed on behind a stream that is broken off are counted as cut
        Given a relay and a "stream" call whose server stops within its stream
        When a "unsafe" call is written behind its head, and the time of the first one ends after 300 ms
        Then the first answer is broken off, and 1 call is counted as cut

    Scenario Outline: a "<second>" call that expects an interim head, its body <moment>, behind a "<first>" call whose server <fault>
        Given a relay and a "<first>" call whose server <fault>
        When a "<second>" call that expects an interim head is written behind it, its body <moment>
        Then the answers are <statuses>, with nothing in each of them but its own body, and the second call runs <runs> times
        And a further call on the connection is answered with 200

        Examples:
            | first  | fault                        | second          | moment                 | statuses    | runs |
            | unsafe | takes 500 ms                 | unsafe          | with its head          | 200 200     | 1    |
            | unsafe | takes 500 ms                 | safe            | without waiting        | 200 200     | 1    |
            | unsafe | takes 500 ms                 | unsafe          | after the interim head | 200 100 200 | 1    |
            | unsafe | takes 500 ms                 | stream          | with its head          | 200 200     | 1    |
            | unsafe | takes 500 ms                 | unrouted        | with its head          | 200 404     | 0    |
            | unsafe | takes 500 ms                 | unrouted        | after the interim head | 200 100 404 | 0    |
            | unsafe | takes 500 ms                 | refused         | without waiting        | 200 503     | 0    |
            | stream | pauses after its first event | unsafe          | with its head          | 200 200     | 1    |
            | stream | pauses after its first event | unsafe          | after the interim head | 200 100 200 | 1    |
            | stream | pauses after its first event | unrouted        | with its head          | 200 404     | 0    |
            | stream | pauses after its first event | stream          | without waiting        | 200 200     | 1    |
