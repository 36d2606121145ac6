Feature: Prompt parts that crash servers
    Nine nodes before modelled engines. A call with a certain part of its prompt crashes each server that begins to answer it; sound calls
    share its other parts. At most three calls with the part reach servers later than 3 s after the fifth crash, and sound calls are served.

    Scenario Outline: a part that crashes servers <rate> times a second is kept from them although <trouble>
        Given 9 relay nodes before engines
        When calls with a part that crashes servers come <rate> times a second and <trouble>
        Then at most 3 of them reach servers later than 3 s after the fifth crash
        And 9 in 10 sound calls are served from 6 s after the fifth crash

        Examples:
            | rate | trouble                                       |
            | 4    | nothing else happens                          |
            | 1    | nothing else happens                          |
            | 15   | nothing else happens                          |
            | 4    | broken streams are resumed                    |
            | 4    | four nodes restart after the fifth crash      |
            | 4    | all nodes restart one after the other         |
            | 4    | the log is down                               |
            | 4    | a node is cut off from its peers for 6 s      |
            | 4    | a second part crashes servers 5 s later       |

    Scenario Outline: no sound call is taken for one that crashes servers although <trouble>
        Given 9 relay nodes before engines
        When only sound calls come and <trouble>
        Then no call is refused because of its prompt

        Examples:
            | trouble                                     |
            | a server crashes each second                |
            | half of all connections are reset each 2 s  |
            | servers fail a quarter of their calls       |
