@loopback
Feature: Connections to a node that is held up
    The event loop runs timers before it reads sockets. No connection is closed over a call that arrived before its limit was over.

    Scenario Outline: a resting connection is not closed over <calls> that came <after> ms after its last answer
        Given a caller server with an idle limit of 500 ms and a header limit of 1000 ms
        And 8 connections that got an answer
        When each writes <calls> after <after> ms, and the node is held up for 700 ms
        Then each gets <answers>

        Examples:
            | after | calls                                        | answers |
            | 1485  | a call                                       | 200     |
            | 1440  | a call                                       | 200     |
            | 1300  | a call                                       | 200     |
            | 1440  | two calls                                    | 200 200 |
            | 1440  | half of a head, and the rest meanwhile       | 200     |
            | 1440  | half of a head, and the rest afterwards      | 200     |
            | 1440  | half of a body, and the rest meanwhile       | 200     |
            | 1440  | half of a body, and the rest afterwards      | 200     |
            | 1440  | one and a half calls, and the rest meanwhile | 200 200 |

    Scenario Outline: a head is not refused after a hold-up if its end had arrived: <calls>, <connection>
        Given a caller server with an idle limit of 5000 ms and a header limit of 400 ms
        And 8 connections that <connection>
        When each writes <calls> after 200 ms, and the node is held up for 1000 ms
        Then each gets <answers>

        Examples:
            | connection          | calls                                        | answers |
            | are new             | a call                                       | 200     |
            | are new             | two calls                                    | 200 200 |
            | are new             | half of a head, and the rest meanwhile       | 200     |
            | are new             | half of a head                               | 408     |
            | are new             | one and a half calls                         | 200 408 |
            | got an answer       | one and a half calls, and the rest meanwhile | 200 200 |
            | sent half of a head | the rest of the head                         | 200     |
            | sent half of a head | a part of the rest of the head               | 408     |

    Scenario Outline: a connection rests for as long as callers were told while its idle limit changes from <old> to <new> ms
        Given a caller server with an idle limit of <old> ms and a header limit of 1000 ms
        And 8 connections that got an answer
        When the idle limit becomes <new> ms
        And each writes a call after 1900 ms, and the node is held up for 0 ms
        Then each gets 200

        Examples:
            | old  | new  |
            | 2500 | 200  |
            | 300  | 2500 |

    Scenario Outline: connections that <connection> are closed in the end
        Given a caller server with an idle limit of 600 ms and a header limit of 300 ms
        And 3 connections that <connection>
        Then each gets <answers> and is closed after <least> to <most> ms
        And <idle> connections are counted as closed for idleness

        Examples:
            | connection                            | answers | least | most | idle |
            | are new                               | nothing | 600   | 3200 | 3    |
            | got an answer                         | nothing | 600   | 3200 | 3    |
            | sent half of a head                   | 408     | 250   | 1800 | 0    |
            | got an answer and sent half of a head | 408     | 250   | 1800 | 0    |
            | got an answer and sent an empty line  | nothing | 600   | 4200 | 3    |

    Scenario Outline: <calls> that came just before a held-up node <closes> are answered
        Given a caller server with an idle limit of 5000 ms and a header limit of 1000 ms
        And 8 connections that <connection>
        When each writes <calls> after 50 ms, the node is held up for 100 ms and then <closes>
        Then each gets <answers>

        Examples:
            | connection                 | calls     | closes                      | answers |
            | got an answer              | a call    | closes its idle connections | 200     |
            | got an answer              | two calls | closes its idle connections | 200 200 |
            | are new                    | a call    | closes its idle connections | 200     |
            | await the end of an answer | a call    | drains and ends its answers | 200 200 |

    Scenario Outline: a resting connection to <server> is not closed over a call that came <after> ms after its last answer
        Given <server>
        And 8 connections that got an answer to an empty call
        When each writes an empty call after <after> ms, and the node is held up for 700 ms
        Then each gets 200

        Examples:
            | server                         | after |
            | a server for metrics           | 5940  |
            | a server for calls of peers    | 10940 |
            | the HTTP server of an entry VM | 5940  |

    Scenario Outline: a call to the HTTP server of an entry VM is not refused after a hold-up if its end had arrived: <calls>, <connection>
        Given the HTTP server of an entry VM
        And 8 connections that <connection>
        When each writes <calls> after 200 ms, and the node is held up for 1000 ms
        Then each gets <answers>

        Examples:
            | connection          | calls                                  | answers |
            | are new             | a call                                 | 200     |
            | are new             | half of a body, and the rest meanwhile | 200     |
            | are new             | half of a body                         | 408     |
            | sent half of a head | the rest of the head                   | 200     |
            | sent half of a head | the rest of the head and half a body   | 408     |
            | sent half of a body | the rest of the body                   | 200     |

    Scenario Outline: <calls> that came just before the HTTP server of a held-up entry VM closes its idle connections are answered: <connection>
        Given the HTTP server of an entry VM
        And 8 connections that <connection>
        When each writes <calls> after 50 ms, the node is held up for 100 ms and then closes its idle connections
        Then each gets <answers>

        Examples:
            | connection    | calls     | answers |
            | got an answer | a call    | 200     |
            | got an answer | two calls | 200 200 |
            | are new       | a call    | 200     |
