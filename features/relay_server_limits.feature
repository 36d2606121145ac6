Feature: Limits that servers state for the calls of all nodes
    A server may state in its answers how many calls a second it accepts from all nodes together. The limit holds for as long as the
    server states it.

    Scenario Outline: a limit sent as "<value>" is read as <limit>
        When an answer with the limit header "<value>" is read
        Then the limit of the answer is <limit>

        Examples:
            | value     | limit      |
            | 2.3       | 2.3        |
            | 17        | 17         |
            | 0         | 0          |
            |  4.0      | 4          |
            |           | unreadable |
            | -1        | unreadable |
            | 2e3       | unreadable |
            | NaN       | unreadable |
            | Infinity  | unreadable |
            | 0x10      | unreadable |
            | 2,5       | unreadable |
            | 2.3; 4    | unreadable |

    Scenario: a limit that is sent twice is unreadable
        When an answer with two limit headers is read
        Then the limit of the answer is unreadable

    Scenario: the limit is forwarded to the caller like other end-to-end headers
        When an answer with the limit header "2.3" is read
        Then the header is among those for the caller

    Scenario Outline: a node that <history> applies <limit>
        Given a node that knows of no limit
        When the node <history>
        Then it applies <limit>

        Examples:
            | history                                                                   | limit          |
            | got an answer with the limit 3                                            | 3 a second     |
            | got an answer with the limit 3 and then one with 2                        | 2 a second     |
            | got an answer with the limit 3 and then one with 5                        | 5 a second     |
            | got an answer with the limit 3 and then one without                       | no limit       |
            | got an answer with the limit 3 and then one without to an earlier call    | 3 a second     |
            | got an answer with the limit 3 and then one with 5 to an earlier call     | 3 a second     |
            | got an answer with the limit 3 and then one with 2 to an earlier call     | 2 a second     |
            | got an answer without a limit and then one with 3 to an earlier call      | 3 a second     |
            | got an answer with the limit 3 and then an unreadable one                 | 3 a second     |
            | got an answer with the limit 3 and then a refusal without                 | 3 a second     |
            | got an answer with the limit 3 and then an error without                  | 3 a second     |
            | got an answer with the limit 3 and then an unsealed one without           | 3 a second     |
            | got a refusal with the limit 3                                            | 3 a second     |
            | got an answer with the limit 3 from another server at the address         | no limit       |
            | got an unsealed answer with the limit 3                                   | no limit       |
            | got an answer with the limit 3 from the previous incarnation              | no limit       |
            | got an answer with the limit 3 and then none for 11 minutes               | no limit       |
            | got a peer's report of the limit 3                                        | 3 a second     |
            | got a peer's report of the limit 3 and then one of its end                | no limit       |
            | got an answer with the limit 3 and then an earlier report of its end      | 3 a second     |
            | got an answer with the limit 3 and then an earlier report of the limit 5  | 3 a second     |
            | got an answer with the limit 3 and then a report of the limit 5           | 5 a second     |
            | got a peer's report of the limit 3 and then an answer without             | no limit       |
            | got a peer's report of its end                                            | no limit       |

    Scenario Outline: <nodes> nodes keep the limit of <limit> calls a second of <limited> servers although <trouble>
        Given <nodes> relay nodes that get <rate> calls a second
        When <limited> of 13 servers state a limit of <limit> calls a second and <trouble>
        Then from 3 s after the statement, none of these servers gets more than one and a half times its limit and 5 calls in any 4 s
        And these servers get at least 8 tenths of the calls that they accept

        Examples:
            | nodes | rate | limited | limit | trouble                                            |
            | 9     | 50   | 2       | 3.1   | nothing else happens                               |
            | 9     | 50   | 1       | 0.5   | nothing else happens                               |
            | 9     | 50   | 2       | 0     | nothing else happens                               |
            | 24    | 50   | 2       | 2.3   | nothing else happens                               |
            | 24    | 50   | 1       | 3.1   | all calls come to one node for 4 s and then to all |
            | 9     | 50   | 2       | 3.1   | eight in ten calls come to one node                |
            | 9     | 50   | 2       | 3.1   | calls pause for 3 s and come back threefold        |
            | 9     | 50   | 2       | 6     | the limit falls to 2 after 8 s                     |
            | 9     | 50   | 2       | 2     | the limit rises to 5 after 8 s                     |
            | 9     | 50   | 2       | 3.1   | servers fail a quarter of their calls              |
            | 9     | 50   | 2       | 3.1   | all nodes restart one after the other              |
            | 24    | 50   | 2       | 3.1   | all nodes restart one after the other              |
            | 9     | 50   | 2       | 3.1   | a node is cut off from its peers for 6 s           |
            | 24    | 50   | 2       | 3.1   | a node is cut off from its peers for 6 s           |
            | 9     | 60   | 7       | 2.3   | nothing else happens                               |
            | 9     | 50   | 2       | 3.1   | all nodes restart at once                          |
            | 24    | 50   | 2       | 2.3   | all nodes restart at once                          |
            | 24    | 50   | 2       | 2.3   | calls pause for 3 s and come back threefold        |
            | 9     | 50   | 2       | 2.3   | a third of the reports is lost                     |
            | 60    | 120  | 3       | 2.3   | nothing else happens                               |

    Scenario Outline: one of <nodes> nodes that is cut off from its peers keeps to its share of the limits
        Given <nodes> relay nodes that get 50 calls a second
        When 2 of 13 servers state a limit of 3.1 calls a second and a node is cut off from its peers for 6 s
        Then from 3 s after the cut began, the node sends at most twice its share of what these servers accept and a call to each

        Examples:
            | nodes |
            | 9     |
            | 24    |
            | 60    |

    Scenario: a server whose limit ended gets its share of the calls again
        Given 9 relay nodes that get 50 calls a second
        When 2 of 13 servers state a limit of 2 calls a second and it ends after 8 s
        Then these servers get more than twice as many calls from 3 s after the end

    Scenario: calls beyond what half of the servers accept are refused early with a time to return
        Given 9 relay nodes that get 60 calls a second
        When 7 of 13 servers state a limit of 2.3 calls a second and nothing else happens
        Then 9 in 10 calls are answered, or refused within 1300 ms with a time to return
        And at least half of the calls are answered
