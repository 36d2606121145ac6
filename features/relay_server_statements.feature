Feature: What servers state about themselves
    A server that turns a call away may ask the node for a time of rest, and one that leaves says so in its answers. The statements hold
    for an incarnation of the server, whether or not its entry in the log says the same.

    Scenario Outline: a rest sent as "<value>" is read as <rest>
        When an answer with the rest header "<value>" is read
        Then the rest of the answer is <rest>

        Examples:
            | value                         | rest       |
            | 3                             | 3000 ms    |
            | 0.25                          | 250 ms     |
            | 0                             | 0 ms       |
            | -1                            | unreadable |
            | NaN                           | unreadable |
            |                               | unreadable |
            | 1e9                           | unreadable |
            | Fri, 04 Dec 2026 10:00:00 GMT | unreadable |

    Scenario: a rest that is sent twice is unreadable
        When an answer with two rest headers is read
        Then the rest of the answer is unreadable

    Scenario Outline: a server that asked a node for <rest> of rest gets at most two calls from it from half a second on although <trouble>
        Given <nodes> relay nodes before 13 servers that get 90 streams a second
        When <resting> servers turn all calls away for 12 s and ask for <rest> of rest, and <trouble>
        Then no server gets more than two calls from a node between half a second after it asked for rest and the end of the rest

        Examples:
            | nodes | resting | rest | trouble                                        |
            | 9     | 1       | 3 s  | nothing else happens                           |
            | 9     | 4       | 3 s  | nothing else happens                           |
            | 9     | 4       | 8 s  | nothing else happens                           |
            | 9     | 13      | 3 s  | nothing else happens                           |
            | 24    | 4       | 3 s  | nothing else happens                           |
            | 9     | 4       | 8 s  | the servers' entries are missing for a while   |
            | 9     | 4       | 3 s  | a node reaches no server and hands its calls on |

    Scenario: callers are refused early and told when the first server may be asked again while all servers rest
        Given 9 relay nodes before 13 servers that get 90 streams a second
        When 13 servers turn all calls away for 12 s and ask for 3 s of rest, and nothing else happens
        Then from 1 s on, 9 in 10 calls are refused, within 100 ms unless a rest ends within their wait of 800 ms
        And 9 in 10 of these are told a time to return that is not before the first rest ends

    Scenario: servers get calls again within a second after their last rest has ended
        Given 9 relay nodes before 13 servers that get 90 streams a second
        When 4 servers turn all calls away for 12 s and ask for 3 s of rest, and nothing else happens
        Then each of them gets calls in the second that begins 4 s after it accepts calls again

    Scenario Outline: a server that <history> is <state>
        Given a node that knows of no statement
        When a server <history>
        Then the node takes the server for <state>

        Examples:
            | history                                                                          | state       |
            | says that it is leaving                                                          | leaving     |
            | says that it is leaving and answers nothing for 9 minutes                        | leaving     |
            | is reported to be leaving and answers nothing for 9 minutes                      | leaving     |
            | says that it is leaving and starts again                                         | not leaving |

    Scenario Outline: no call reaches a server later than 2 s after its first answer that says that it is leaving although <trouble>
        Given <nodes> relay nodes before 13 servers that get 90 streams a second
        When 3 servers say for 12 s that they are leaving while their entries do not, and <trouble>
        Then none of these servers gets a call later than 2 s after its first such answer

        Examples:
            | nodes | trouble                                      |
            | 9     | nothing else happens                         |
            | 24    | nothing else happens                         |
            | 60    | nothing else happens                         |
            | 9     | four nodes restart 4 s later                 |
            | 9     | the servers' entries are missing for a while |

    Scenario Outline: 13 brittle servers that fall over after <refusals> refusals in a second fall over at most 3 times in 12 s
        Given <nodes> relay nodes before 13 servers that get <rate> streams a second
        When 13 servers say for 15 s that they fall over after <refusals> refusals in a second, and do so from 3 s on
        Then they fall over at most 3 times
        And at least <served> calls in 100 are answered in this time

        Examples:
            | nodes | rate | refusals | served |
            | 9     | 60   | 3        | 95     |
            | 9     | 90   | 3        | 90     |
            | 9     | 150  | 3        | 50     |
            | 24    | 90   | 3        | 90     |
            | 60    | 90   | 4        | 90     |

    Scenario: a server that has been brittle gets as many calls as before once it no longer says so
        Given 9 relay nodes before 13 servers that get 60 streams a second
        When 13 servers say for 15 s that they fall over after 3 refusals in a second, and do so from 3 s on
        Then no node takes a server for brittle 3 s after that if the server has answered a call by then
