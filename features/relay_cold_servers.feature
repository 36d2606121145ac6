Feature: Cold servers
    A server that is cold, after a start or at any other moment, falls over when all nodes together send it more calls than it bears. Each
    statement about it holds until a newer one, and the nodes share out its calls.

    Scenario Outline: a warm-up sent as "<value>" is read as <time>
        When an answer with the warm-up header "<value>" is read
        Then the warm-up of the answer is <time>

        Examples:
            | value | time       |
            | 2300  | 2300       |
            | 0     | 0          |
            |  12.5 | 12.5       |
            |       | unreadable |
            | -1    | unreadable |
            | 2e3   | unreadable |
            | NaN   | unreadable |

    Scenario Outline: after <events>, a server is <state> at <at> ms
        Given a node and a service whose servers are cold for 3000 ms and sustain 18 calls a second then
        When at these times in milliseconds <events> happens
        Then the server is <state> at <at> ms

        Examples: entries
            | events                              | at   | state |
            | 0 entry of 3000                     | 2990 | cold  |
            | 0 entry of 3000                     | 3000 | warm  |
            | 0 entry of none                     | 2990 | cold  |
            | 0 entry of none                     | 3000 | warm  |
            | 0 entry of 0                        | 10   | warm  |
            | 0 entry of 3000, 1200 entry of 0    | 1210 | warm  |
            | 0 entry of 3000, 1200 entry of 1800 | 2990 | cold  |
            | 0 entry of 0, 5000 entry of 2500    | 5010 | cold  |
            | 0 entry of 3000, 1000 silent answer | 1010 | cold  |

        Examples: answers
            | events                                       | at   | state |
            | 5000 answer of 2000                          | 6990 | cold  |
            | 5000 answer of 2000                          | 7000 | warm  |
            | 5000 refusal of 2000                         | 5010 | cold  |
            | 5000 answer of x                             | 5010 | warm  |
            | 5000 unsealed answer of 2000                 | 5010 | warm  |
            | 5000 misdirected answer of 2000              | 5010 | warm  |
            | 5000 answer of 2000, 5300 answer of 0        | 5310 | warm  |
            | 5000 answer of 2000, 5300 silent answer      | 5310 | warm  |
            | 5000 answer of 2000, 5300 late silent answer | 5310 | cold  |
            | 5000 answer of 2000, 5300 silent error       | 5310 | cold  |
            | 5000 answer of 2000, 5300 entry of 0         | 5310 | cold  |
            | 5000 answer of 2000, 6100 entry of 0         | 6110 | warm  |
            | 0 entry of 3000, 1000 answer of 0            | 1010 | warm  |

        Examples: broken connections
            | events                                                 | at    | state |
            | 5000 reset                                             | 5010  | cold  |
            | 5000 reset, 5500 silent answer                         | 5510  | warm  |
            | 5000 reset, 5300 silent answer                         | 5310  | cold  |
            | 5000 reset, 5500 late silent answer                    | 5510  | cold  |
            | 5000 reset, 5300 entry of 0                            | 5310  | cold  |
            | 5000 reset, 6100 entry of 0                            | 6110  | warm  |
            | 5000 reset, 6100 entry of 2000                         | 8090  | cold  |
            | 5000 reset, 5050 reset, 5500 silent answer             | 5510  | cold  |
            | 5000 reset, 5100 report of a reset, 5600 silent answer | 5610  | cold  |
            | 5000 no connection, 5500 silent answer                 | 8490  | cold  |
            | 5000 no connection, 5500 silent answer                 | 8500  | warm  |
            | 5000 no connection, 6100 entry of 0                    | 6110  | warm  |
            | 5000 no connection                                     | 25000 | cold  |

        Examples: reports of peers
            | events                                          | at   | state |
            | 5000 report of 2000                             | 5010 | cold  |
            | 5000 report of 2000, 5300 report of 0           | 5310 | warm  |
            | 5000 answer of 2000, 5300 late report of 0      | 5310 | cold  |
            | 5000 report of a reset, 5500 silent answer      | 5510 | warm  |
            | 5000 no connection, 5300 report of a refutation | 5310 | cold  |

    Scenario: a service without cold servers has no limit, and reports tell nothing
        Given a node and a service whose cold servers bear as much as others
        When at these times in milliseconds 0 entry of 3000, 10 answer of 2000, 20 reset, 30 no connection happens
        Then the server is warm at 40 ms
        And the node reports no cold server and no calls to one

    Scenario: a node that knows of no other takes nothing until the log has listed them, and then its share
        Then a node that hears <heard> of <listed> nodes counts <share> of them as unreachable
            | heard | listed  | share |
            | 1     | unknown | 1     |
            | 1     | 1       | 0     |
            | 1     | 61      | 0.984 |
            | 16    | 61      | 0.738 |
            | 31    | 61      | 0     |

    Scenario Outline: 61 nodes keep the bound on the calls of cold servers while <trouble>
        Given 61 relay nodes before servers that sustain 18 calls a second while they are cold
        When <trouble>
        Then no cold server gets more than 32 calls in any one second
        And cold servers get at least <share> of the calls that they sustain

        Examples:
            | trouble                                                        | share |
            | six servers are replaced at a time                             | 0.5   |
            | six are replaced at a time and a node is cut off               | 0.5   |
            | six are replaced at a time and a third of the nodes is cut off | 0.4   |
            | six are replaced at a time and all nodes restart at once       | 0.5   |
            | six are replaced at a time and a third of the reports is lost  | 0.5   |
            | six are replaced in a pause and calls come back                | 0.5   |
            | six end for 200 ms and come back before their entries tell     | 0.5   |
            | six end for 600 ms and come back before their entries tell     | 0.5   |
            | six turn cold as their entries tell                            | 0.5   |
            | six turn cold as their answers tell                            | 0.5   |
