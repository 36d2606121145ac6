@loopback
Feature: Calls of a relay node whose event loop is held up
    The node runs as a program. Its servers, callers and store go on meanwhile.

    Scenario Outline: calls that wait for a slot while the node is held up for <hold> ms are answered, as their callers wait longer
        Given a relay program before <servers> servers of one slot that take <work> ms
        When <calls> "unsafe" calls are sent, and the program is held up for <hold> ms
        Then each of them gets the answer of a server, and none has run twice

        Examples:
            | servers | calls | work | hold |
            | 2       | 6     | 250  | 2500 |
            | 1       | 3     | 150  | 1500 |
            | 2       | 4     | 300  | 900  |

    Scenario Outline: a call whose answer of <size> kB arrives before its time is over gets it although the node is held up beyond <end>
        Given a relay program before a server whose answers of <size> kB take <work> ms
        When <event>, and the program is held up from <from> ms to <to> ms
        Then the held-up call gets the whole answer of the server

        Examples:
            | end                    | event                                         | work | from | to   | size |
            | the route's time limit | a "short" call is sent                        | 200  | 50   | 700  | 1    |
            | the route's time limit | a "short" call is sent                        | 200  | 50   | 700  | 200  |
            | the end of its stop    | an "unsafe" call is sent, and then a SIGTERM  | 2200 | 1900 | 2800 | 1    |
            | the end of its stop    | an "unsafe" call is sent, and then a SIGTERM  | 2200 | 1900 | 2800 | 200  |
            | the end of its stop    | an "unsafe" call is sent, and then a SIGTERM  | 2200 | 1900 | 2800 | 4000 |

    Scenario Outline: calls that are open when a held-up node stops are told that they may have run
        Given a relay program before a server whose answers of 1 kB take 8000 ms
        When an "unsafe" call is sent, and then a SIGTERM, and the program is held up from <from> ms to <to> ms
        Then the held-up call gets status 502

        Examples:
            | from | to   |
            | 1500 | 1500 |
            | 1900 | 2500 |
            | 1900 | 2700 |
            | 500  | 2900 |

    Scenario Outline: a stop ends in time although the node is held up for <hold> ms again and again
        Given a relay program before a server whose answers of 1 kB take 9000 ms
        When an "unsafe" call is sent, and then a SIGTERM, and the program is held up <times> times for <hold> ms
        Then the held-up call gets status 502 within 3000 ms

        Examples:
            | hold | times |
            | 110  | 30    |
            | 150  | 25    |

    Scenario Outline: a call that gets no slot is refused in time although the node is held up for <hold> ms again and again
        Given a relay program before 1 servers of one slot that take 9000 ms
        When 2 "unsafe" calls are sent, and the program is held up <times> times for <hold> ms
        Then one of them is refused within 2000 ms

        Examples:
            | hold | times |
            | 110  | 30    |
            | 150  | 25    |
