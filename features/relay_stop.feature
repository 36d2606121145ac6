@loopback
Feature: Planned stop of a relay node
    A node is drained within a grace of 3 s. Each call that it has read gets a complete answer, or is refused without having reached a server.

    Scenario Outline: a call that can be passed on only late in the grace is not cut by its end
        Given a relay in whose service "<kind>" calls take 300 ms
        When the node is drained while a "<kind>" call <lateness>
        Then the caller gets status <status> and reaches a server <times> times

        Examples:
            | kind   | lateness                                             | status | times |
            | safe   | ends its body 2200 ms later                          | 503    | 0     |
            | unsafe | ends its body 2200 ms later                          | 503    | 0     |
            | stream | ends its body 2200 ms later                          | 503    | 0     |
            | safe   | ends its body 1200 ms later                          | 200    | 1     |
            | unsafe | ends its body 1200 ms later                          | 200    | 1     |
            | stream | ends its body 1200 ms later                          | 200    | 1     |
            | safe   | gets a slot 2200 ms later                            | 503    | 0     |
            | unsafe | gets a slot 2200 ms later                            | 503    | 0     |
            | stream | gets a slot 2200 ms later                            | 503    | 0     |
            | unsafe | gets a slot 600 ms later                             | 200    | 1     |
            | safe   | comes on a new connection 20 ms later                | 200    | 1     |
            | stream | comes on a new connection 20 ms later                | 200    | 1     |
            | unsafe | comes on a new connection 20 ms later                | 200    | 1     |
            | safe   | fails at its first server 2200 ms later              | 502    | 1     |
            | safe   | fails at its first server 1200 ms later              | 200    | 2     |
            | unsafe | never ends its body                                  | 503    | 0     |

    Scenario Outline: a call that takes a detour late in the grace is not cut by its end
        Given two relay nodes of which the first reaches no server, and "<kind>" calls that take 300 ms
        When the <node> node is drained while a "<kind>" call is handed on <delay> ms later
        Then the caller gets status <status> and reaches a server <times> times

        Examples:
            | kind   | node   | delay | status | times |
            | safe   | first  | 2200  | 503    | 0     |
            | unsafe | first  | 2200  | 503    | 0     |
            | unsafe | first  | 1200  | 200    | 1     |
            | safe   | second | 2200  | 421    | 0     |
            | unsafe | second | 2200  | 421    | 0     |
            | unsafe | second | 1200  | 200    | 1     |

    Scenario Outline: a call at a silent server gets a truthful answer at the end of the grace
        Given a relay in whose service "<kind>" calls take 5 ms
        When the node is drained while a "<kind>" call is at a server that <fault>
        Then its caller gets <answer> within 3000 ms

        Examples:
            | kind   | fault                   | answer             |
            | safe   | hangs                   | status 502         |
            | unsafe | hangs                   | status 502         |
            | stream | hangs                   | status 502         |
            | stream | stops within its stream | an aborted stream  |

    Scenario Outline: a call that one node has handed to another gets a truthful answer although one of them stops
        Given two relay nodes of which the first reaches no server, and "<kind>" calls that take 5 ms
        When the <node> node is drained while a "<kind>" call of the first one is at a server that <fault>
        Then its caller gets <answer> within 3000 ms

        Examples:
            | kind   | node   | fault                   | answer            |
            | safe   | first  | hangs                   | status 502        |
            | unsafe | first  | hangs                   | status 502        |
            | stream | first  | hangs                   | status 502        |
            | stream | first  | stops within its stream | an aborted stream |
            | safe   | second | hangs                   | status 502        |
            | unsafe | second | hangs                   | status 502        |
            | stream | second | hangs                   | status 502        |
            | stream | second | stops within its stream | an aborted stream |

    Scenario Outline: pipelined calls are not cut behind the first answer of a draining node
        Given a relay in whose service "<kind>" calls take 300 ms
        When <calls> are written at once, and the node is drained <when>
        Then the caller gets the statuses <statuses> in order, and then a closed connection

        Examples:
            | calls              | kind   | when                       | statuses    |
            | 2 safe calls       | safe   | 100 ms later               | 200 200     |
            | 2 unsafe calls     | unsafe | 100 ms later               | 200 200     |
            | 3 unsafe calls     | unsafe | 100 ms later               | 200 200 200 |
            | 2 stream calls     | stream | 100 ms later               | 200 200     |
            | 2 unsafe calls     | unsafe | 0 ms later                 | 200 200     |
            | 2 unsafe calls     | unsafe | 30 ms before               | 200 200     |

    Scenario Outline: a call that comes late in the grace behind another one on its connection is not cut
        Given a relay in whose service "<kind>" calls take 300 ms
        When the node is drained while a "<kind>" call <lateness>
        Then the caller gets status <status> and reaches a server <times> times

        Examples:
            | kind   | lateness                                | status | times |
            | safe   | comes behind another call 2200 ms later | 503    | 0     |
            | unsafe | comes behind another call 2200 ms later | 503    | 0     |
            | stream | comes behind another call 2200 ms later | 503    | 0     |
            | unsafe | comes behind another call 1200 ms later | 200    | 1     |

    Scenario Outline: a call is not cut, nor its answer replaced, because another call on its connection is refused
        Given a relay in whose service "unsafe" calls take <duration> ms
        When <calls> are written at once
        Then the caller gets the statuses <statuses> in order, and then a closed connection

        Examples:
            | calls                                                | statuses    | duration |
            | a call without an id, an unsafe call                 | 400 200     | 300      |
            | a call with too large a head, an unsafe call         | 431 200     | 300      |
            | a call with too large a body, an unsafe call         | 413 200     | 300      |
            | an unsafe call, a call without an id                 | 200 400     | 300      |
            | an unsafe call, a call with too large a body         | 200 413     | 300      |
            | an unsafe call, a call without an id, an unsafe call | 200 400 200 | 300      |
            | an unsafe call, bytes that are no call               | 200 400     | 300      |
            | 2 unsafe calls, bytes that are no call               | 200 200 400 | 300      |
            | an unsafe call, a call with a malformed body         | 200 400     | 300      |
            | an unsafe call, half of a head                       | 200 408     | 300      |
            | bytes that are no call                               | 400         | 300      |
            | half of a head                                       | 408         | 300      |
            | an unsafe call, half of a head                       | 200 408     | 4000     |
            | an unsafe call that closes, an unsafe call           | 200         | 300      |
            | an unsafe call, a call that asks for a tunnel        | 200 400     | 300      |
            | an unsafe call, a call that asks for an upgrade      | 200 200     | 300      |

    Scenario: all pipelined calls of a caller that disconnects are cancelled at their servers
        Given a relay in whose service "unsafe" calls take 3000 ms
        When a caller of 3 pipelined "unsafe" calls disconnects after 300 ms
        Then the servers' 3 connections end within 500 ms

    Scenario: answers that their caller reads slowly are complete although the node is drained
        Given a relay in whose service "unsafe" calls take 5 ms
        And answers of 3 MB
        When a caller of 6 pipelined "unsafe" calls begins to read only 500 ms after the node was drained
        Then the caller gets the statuses 200 200 200 200 200 200 in order, and then a closed connection

    Scenario Outline: open connections that wait for a call are closed when the node is drained, and the drain ends at once
        Given a relay in whose service "unsafe" calls take 5 ms
        When the node is drained while <count> connections are idle
        Then the drain has ended within 1000 ms, and all connections are closed

        Examples:
            | count |
            | 1     |
            | 20    |
