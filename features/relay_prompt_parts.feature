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
            # Guards against parts that are cleared for good by a stream that got to its second event, or by earlier answers.
            | 4    | servers crash after 1 events                  |
            | 4    | servers crash after 2 events                  |
            | 4    | servers crash after 10 events                 |
            | 4    | servers crash after 100 events                |
            | 1    | servers crash after 2 events                  |
            | 15   | servers crash after 2 events                  |
            | 4    | the part was in sound calls before            |
            | 4    | servers crash after 10 events, and the part was in sound calls before |

    Scenario: a part that crashes servers is kept from them by 24 nodes that report through aggregators
        Given 24 relay nodes before engines
        When calls with a part that crashes servers come 4 times a second and nothing else happens
        Then at most 3 of them reach servers later than 3 s after the fifth crash
        And 9 in 10 sound calls are served from 6 s after the fifth crash

    Scenario Outline: no sound call is taken for one that crashes servers although <trouble>
        Given 9 relay nodes before engines
        When only sound calls come and <trouble>
        Then no call is refused because of its prompt

        Examples:
            | trouble                                     |
            | a server crashes each second                |
            | half of all connections are reset each 2 s  |
            | servers fail a quarter of their calls       |

    Scenario Outline: a part of a prompt that <history> is <verdict>
        Given a node that watches the parts of prompts before 13 servers
        When a part <history>
        Then the part is <verdict>

        Examples:
            | history                                                   | verdict     |
            | was in a call that broke                                  | suspected   |
            | was in calls that broke at 2 servers                      | quarantined |
            | was in calls that broke twice at one server               | suspected   |
            | was in calls that broke at 2 servers beside another part  | suspected   |
            | was in calls that broke at 3 servers beside another part  | quarantined |
            | was answered before calls with it broke at 2 servers      | free        |
            | was answered before calls with it broke at 3 servers      | suspected   |
            | was answered before calls with it broke at 4 servers      | quarantined |
            | was in answers of 5 events before calls with it broke after 2 events at 2 servers | quarantined |
            | was in an answer of 6 events after calls with it broke after 2 events at 1 server | free        |
            | was in an answer of 5 events after calls with it broke after 2 events at 1 server | suspected   |
            | was answered after calls with it broke at 1 server        | free        |
            | was in calls that broke at 3 servers that answered later calls             | free        |
            # Guards against crashes that are void because the last bytes of the server were read late.
            | was in calls that broke at 3 servers whose earlier answers were read later | quarantined |
            | was answered by a probe after calls broke at 3 servers    | free        |
            | was in calls that broke at 7 servers at once              | free        |
            | was the last one in calls that broke at 3 servers         | free        |
            | was reported by two peers for a server each               | quarantined |
            | was reported by two peers and as answered by a third      | free        |

    # Guards against reports that grow with all crashes of a part that many sound calls share, until no datagram holds them.
    Scenario: a report names at most 16 cleared crashes of a part
        Given a node that watches the parts of prompts before 13 servers
        When a part was in calls that broke at 20 servers and was answered after each
        Then its report names at most 16 cleared crashes
        When a peer reports 100 other crashes of it as cleared
        Then its report names at most 16 cleared crashes

    Scenario: one probe of a quarantined part is sent in two minutes or more
        Given a node that watches the parts of prompts before 13 servers
        When a part was in calls that broke at 3 servers
        And a call with it comes each second for 10 minutes and crashes its server when it is sent
        Then at most 3 of them are sent
