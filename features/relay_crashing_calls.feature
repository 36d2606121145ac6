Feature: Calls whose content crashes servers
    Nine nodes before four modelled servers whose answers are not streams. A call with a certain path, caller and body crashes each server
    that begins to run it, and comes again at any node. At most three of its attempts reach servers later than 3 s after the third crash, and
    other calls are served.

    Scenario Outline: a call (<kind>) that crashes servers <rate> times a second is kept from them although <trouble>
        Given 9 relay nodes before four servers of <kind> calls
        When a call that crashes servers comes <rate> times a second and <trouble>
        Then at most 3 of its attempts reach servers later than 3 s after the third crash
        And 9 in 10 other calls are served from 8 s after the third crash

        Examples:
            | kind       | rate | trouble                                      |
            | repeatable | 2    | nothing else happens                         |
            | repeatable | 0.5  | nothing else happens                         |
            | repeatable | 8    | nothing else happens                         |
            | unsafe     | 2    | nothing else happens                         |
            | repeatable | 2    | four nodes restart after the third crash     |
            | repeatable | 2    | all nodes restart one after the other        |
            | repeatable | 2    | the log is down                              |
            | repeatable | 2    | a node is cut off from its peers for 6 s     |
            | repeatable | 2    | another call crashes servers 8 s later       |

    Scenario: a call that crashes servers is kept from them although servers answer a quarter of all calls with an error
        Given 9 relay nodes before four servers of repeatable calls
        When a call that crashes servers comes 2 times a second and servers fail a quarter of their calls
        Then at most 3 of its attempts reach servers later than 3 s after the third crash
        And 3 in 4 other calls are served from 8 s after the third crash

    Scenario: a call that crashes servers is kept from them by 24 nodes that report through aggregators
        Given 24 relay nodes before four servers of repeatable calls
        When a call that crashes servers comes 2 times a second and nothing else happens
        Then at most 3 of its attempts reach servers later than 3 s after the third crash
        And 9 in 10 other calls are served from 8 s after the third crash

    Scenario Outline: no sound call is taken for one that crashes servers although <trouble>
        Given 9 relay nodes before four servers of repeatable calls
        When only sound calls come, some of them often, and <trouble>
        Then no call is refused because of its content

        Examples:
            | trouble                                       |
            | a server crashes each 2 s                     |
            | two servers crash at once each 5 s            |
            | half of all connections are reset each 2 s    |
            | servers fail a quarter of their calls         |

    Scenario Outline: a call <history> is <verdict>
        Given a node that watches contents before 4 servers
        When a call <history>
        Then its content is <verdict>

        Examples:
            | history                                                           | verdict     |
            | broke at 1 server                                                 | free        |
            | broke at 2 servers                                                | quarantined |
            | broke at 2 servers, beside another call each time                 | held back   |
            | broke at 3 servers, beside another call each time                 | quarantined |
            | broke twice at one incarnation of a server                        | free        |
            | broke at 4 servers within 100 ms                                  | quarantined |
            | was answered before it broke at 2 servers                         | free        |
            | was answered before it broke at 3 servers                         | held back   |
            | was answered before it broke at 4 servers                         | quarantined |
            | broke at 1 server and was answered                                | free        |
            | broke at 3 servers and was answered by a probe                    | free        |
            | broke at 1 server, after 600 other calls broke at another         | free        |
            | broke at 2 servers, after 600 other calls broke at another        | quarantined |
            | broke at 1 server, and a peer reported another                    | quarantined |
            | was reported by a peer as quarantined                             | quarantined |
            | broke at 2 servers, beside a call that then broke at a third one  | free        |
            | broke at 2 servers, and a peer then reported another call there   | held back   |
            | broke at 3 servers, of which a quarantined call explains 2        | quarantined |
            | broke at 3 servers, and a peer reported that it was answered      | free        |

    Scenario: a crash is reported for 30 s and a quarantine as long as it lasts
        Given a node that watches contents before 4 servers
        When a call broke at 1 server
        Then 1 suspect is reported, and 0 after 31 s
        When a call broke at 3 servers
        Then 1 suspect is reported, and 1 after 31 s
