Feature: A soak counts a call as lost if its node has read it and leaves it without a whole answer
    Times in milliseconds. Unless a case says otherwise, a call begins and is whole at 10,000, is passed on, is the first of its connection,
    may take 2,500, and its connection is closed with nothing at 10,600; the node runs undisturbed from 0 on and has 3,000 to stop.

    Scenario Outline: <case>
        When a call is judged that differs in "<call>" at a node that differs in "<node>"
        Then it counts as lost "<spans>"

        Examples: on a kept connection, at any time
            | case                                                          | call                                 | node                      | spans                |
            | a call that was passed on from a kept connection              | isKept=true                          |                           | on a kept connection |
            | a kept connection that is reset                               | isKept=true end=reset                |                           | on a kept connection |
            | a kept connection at the time limit of the call               | isKept=true endedAtMs=13000          |                           | on a kept connection |
            | the first call of a connection                                |                                      |                           |                      |
            | a call that crosses the close and is not passed on            | isKept=true isPassedOn=false         |                           |                      |
            | an answer that has begun                                      | isKept=true end=cut                  |                           |                      |
            | a server that broke off                                       | isKept=true isBrokenOff=true         |                           |                      |
            | a disruption that ended 3,000 before the close                | isKept=true                          | disruptions=7000-7599     | on a kept connection |
            | a disruption that ended less than 3,000 before the close      | isKept=true                          | disruptions=7000-7600     |                      |
            | a disruption that begins after the close                      | isKept=true                          | disruptions=10601-12000   | on a kept connection |
            | a start less than 3,000 before the close                      | isKept=true                          | startsMs=7600             |                      |
            | a stop less than 3,000 before the close                       | isKept=true endedAtMs=14000          | stopsMs=11000             |                      |

        Examples: calls that are not lost
            | case                                                          | call                                 | node                      | spans                |
            | a whole answer                                                | isKept=true end=whole_answer         | stopsMs=10100             |                      |
            | a refusal                                                     | isKept=true end=refusal              | stopsMs=10100             |                      |
            | a caller who has left                                         | isKept=true end=left                 | stopsMs=10100             |                      |
            | a call that was never whole                                   | isKept=true sentAtMs=undefined       | stopsMs=10100             |                      |
            | an answer that the server broke off beside a stop             | isBrokenOff=true end=cut             | stopsMs=10100             |                      |

        Examples: beside SIGTERM
            | case                                                          | call                                 | node                      | spans                |
            | a call that was passed on before the stop                     |                                      | stopsMs=10100             | beside SIGTERM       |
            | a call that was passed on after the stop                      |                                      | stopsMs=9000              | beside SIGTERM       |
            | an answer that is cut in the first half of the grace          | end=cut                              | stopsMs=10100             | beside SIGTERM       |
            | a call that nobody received, closed after 201                 | isPassedOn=false endedAtMs=10201     | stopsMs=9900              | beside SIGTERM       |
            | a call that nobody received, closed after 200                 | isPassedOn=false endedAtMs=10200     | stopsMs=9900              |                      |
            | a call that was passed on, closed after 50                    | endedAtMs=10050                      | stopsMs=9900              | beside SIGTERM       |
            | a connection that ended before the stop                       |                                      | stopsMs=10601             |                      |
            | a connection that ended 4,000 after the stop                  |                                      | stopsMs=6600              | beside SIGTERM       |
            | a connection that ended over 4,000 after the stop             |                                      | stopsMs=6599              |                      |
            | a call whose time limit is reached                            | endedAtMs=12500                      | stopsMs=11000             |                      |
            | a call whose time limit is nearly reached                     | endedAtMs=12499                      | stopsMs=11000             | beside SIGTERM       |
            | a late body uses the time of its call                         | begunAtMs=8000                       | stopsMs=10100             |                      |
            | a server at work in the last sixth of the grace               | limitMs=6000 endedAtMs=12800         | stopsMs=10200             |                      |
            | a server that had ended before the last sixth of the grace    | limitMs=6000 endedAtMs=12800 workedUntilMs=12600 | stopsMs=10200 | beside SIGTERM       |
            | a call that nobody received in the last sixth of the grace    | limitMs=6000 endedAtMs=12800 isPassedOn=false    | stopsMs=10200 | beside SIGTERM       |
            | a late call that a server works on at the end of the grace    | limitMs=6000 endedAtMs=10600         | stopsMs=6900              | beside SIGTERM       |
            | a disruption less than 3,000 before the call                  |                                      | stopsMs=10100 disruptions=6000-7000  |           |
            | a disruption more than 3,000 before the call                  |                                      | stopsMs=10100 disruptions=6000-6999  | beside SIGTERM |
            | a disruption within the call                                  |                                      | stopsMs=10100 disruptions=10300-10400 |          |
            | a node that was started again just before                     |                                      | stopsMs=10100 startsMs=9000 | beside SIGTERM     |

        Examples: beside SIGHUP
            | case                                                          | call                                 | node                      | spans                |
            | a call that is sent before the signal                         |                                      | reloadsMs=10300           | beside SIGHUP        |
            | a call that is sent 2,000 after the signal                    |                                      | reloadsMs=8000            | beside SIGHUP        |
            | a call that is sent over 2,000 after the signal               |                                      | reloadsMs=7999            |                      |
            | a connection that ended before the signal                     |                                      | reloadsMs=10601           |                      |
            | a call that nobody received, closed after 200                 | isPassedOn=false endedAtMs=10200     | reloadsMs=9900            |                      |

        Examples: beside a configuration
            | case                                                          | call                                 | node                      | spans                |
            | a connection that ended right after the change                |                                      | configurationsMs=10590    | beside a configuration |
            | a connection that ended 3,000 after the change                |                                      | configurationsMs=7600     | beside a configuration |
            | a connection that ended over 3,000 after the change           |                                      | configurationsMs=7599     |                      |
            | a connection that ended before the change                     |                                      | configurationsMs=10601    |                      |
            | a single cut, however seldom the node cuts at other times     | isPassedOn=false                     | configurationsMs=10000    | beside a configuration |
            | a call that has used seven tenths of its time                 | limitMs=1000 endedAtMs=10700         | configurationsMs=10000    |                      |
            | a call that has used less than seven tenths of its time       | limitMs=1000 endedAtMs=10699         | configurationsMs=10000    | beside a configuration |
            | a kept connection, at any time as well                        | isKept=true                          | configurationsMs=10000    | on a kept connection, beside a configuration |
            | all planned work at once                                      |                                      | stopsMs=10000 reloadsMs=10000 configurationsMs=10000 | beside SIGTERM, beside SIGHUP, beside a configuration |
