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
