@loopback
Feature: Claims in the log
    The order of the log alone determines which attempt owns a key, and refusals state truthfully whether a call can have run.

    Scenario Outline: the records of a stream determine the verdict on a claim
        When a claim stream holds <records>
        Then attempt "<attempt>" gets verdict "<verdict>"

        Examples:
            | records                              | attempt | verdict  |
            | nothing                              | a       | none     |
            | claim a                              | a       | OWNED    |
            | claim a, claim b                     | b       | HELD     |
            | claim a, claim a                     | a       | OWNED    |
            | claim a, outcome b                   | b       | HELD     |
            | claim a, outcome a                   | b       | RECORDED |
            | claim a, outcome a, release a        | b       | RECORDED |
            | claim a, release a                   | b       | none     |
            | claim a, release a, claim b          | b       | OWNED    |
            | claim a, release a, claim a          | b       | none     |
            | claim a, release b, claim b          | b       | HELD     |
            | claim a, release a, claim a, claim b | b       | OWNED    |
            | release a, claim a                   | b       | none     |
            | claim a, claim b, release a          | b       | none     |
            | claim a, other-body claim c          | c       | CONFLICT |
            | lost records, claim a                | a       | EXPIRED  |
            | lost records, claim a, outcome a     | b       | EXPIRED  |

    Scenario Outline: a refusal says whether a claim can have been committed
        Given the "rastro-sul" fleet
        When <fault> and a filing is sent to node 1
        Then the caller gets refusal <status> "<type>", executed "<executed>"
        And the plain services took 0 effects

        Examples:
            | fault                                                       | status | type            | executed |
            | the log went down                                           | 503    | log-unavailable | no       |
            | node 1 was partitioned from the log and the other nodes     | 503    | log-unavailable | no       |
            | the log goes down as an append is committed                 | 503    | log-unavailable | unknown  |
            | the combiner stops while node 1 is partitioned from the log | 503    | log-unavailable | unknown  |

    Scenario Outline: a retry is answered truthfully while no backend server accepts work
        Given the "rastro-sul" fleet
        And a filing that <past>
        And no backend server accepts work
        When the caller asks again at node 2
        Then the caller gets refusal 503 "no-backend-server", executed "<executed>"

        Examples:
            | past                                  | executed |
            | was answered                          | unknown  |
            | was answered before the log went down | unknown  |
            | was never sent                        | no       |

    Scenario: calls that need no claim are served while the log is down
        Given the "rastro-sul" fleet
        And the log is down
        When a filing waits for the log at node 1
        Then no backend server has outstanding work
        And a status lookup without a key and a dossier summary are answered

    Scenario Outline: a call whose key is older than the retained records is never run again
        Given a fleet whose log retains records for 60 seconds and whose node 2 has a clock that is <skew>
        And a filing with a dated key was answered at node 1
        When the caller asks again at node 2 after <age> seconds
        Then the caller gets <outcome>
        And the plain services took 1 effects

        Examples:
            | skew         | age | outcome                                       |
            | right        | 30  | the same answer as before                     |
            | right        | 240 | refusal 422 "key-expired", executed "unknown" |
            | 10 days slow | 30  | the same answer as before                     |
            | 10 days slow | 240 | refusal 422 "key-expired", executed "unknown" |
            | 1 hour fast  | 30  | the same answer as before                     |
            | 1 hour fast  | 240 | refusal 422 "key-expired", executed "unknown" |
            | 10 days fast | 30  | refusal 422 "key-expired", executed "unknown" |

    Scenario Outline: a fleet that accepts only dated keys
        Given a fleet that accepts only dated keys
        When a filing with <key> is sent to a node of it
        Then the filing is answered with status <status>
        And the plain services took <effects> effects

        Examples:
            | key                 | status | effects |
            | a UUID of version 7 | 200    | 1       |
            | a UUID of version 4 | 400    | 0       |
            | the key "filing"    | 400    | 0       |

    Scenario Outline: a dispatch-once call whose key is sent twice is dispatched once
        Given the "rastro-sul" fleet
        And <state>
        When lookups with the same key are sent to <nodes>
        Then the plain services got <requests> requests
        And <answered> of the callers got a complete answer, and every refusal says executed "unknown"

        Examples:
            | state                           | nodes                 | requests | answered |
            | all nodes reach each other      | nodes 1 and 2 at once | 1        | 1        |
            | all nodes reach each other      | node 1 twice at once  | 1        | 1        |
            | all nodes reach each other      | node 1, then node 2   | 1        | 1        |
            | all nodes reach each other      | node 1, then node 1   | 1        | 1        |
            | no node reaches another         | nodes 1 and 2 at once | 1        | 1        |
            | each node lists only itself     | nodes 1 and 2 at once | 1        | 1        |
            | node 1 crashes as it dispatches | node 1, then node 2   | 1        | 0        |

    Scenario: a node that stops gracefully commits its outcomes first
        Given the "rastro-sul" fleet
        When a filing is answered at node 1, which then stops gracefully
        And the caller asks again at node 2
        Then the caller gets the same answer as before

    Scenario: an unexpected error of an append does not stop a claim stream
        Given a claim stream whose next append fails with an unexpected error
        When attempt "b" claims the new key
        Then the claim's verdict is "OWNED" and the log holds 1 records
        And the unexpected error is recorded as a warning

    Scenario Outline: a node that has reached its key limit
        Given a claim stream of a node at its key limit that holds the claim of attempt "a"
        When attempt "<attempt>" claims the <key> key
        Then the claim's verdict is "<verdict>" and the log holds <records> records

        Examples:
            | attempt | key   | verdict | records |
            | b       | known | HELD    | 1       |
            | a       | known | OWNED   | 1       |
            | b       | new   | FULL    | 1       |

    Scenario: operators see the calls whose outcome is unknown
        Given the "rastro-sul" fleet
        And node 1 crashes as it dispatches
        When a filing is sent to node 1, another to node 2, and one still runs at node 3
        Then the list of unknown calls at node 3 names only the filing of node 1

    Scenario: daemons commit claims and operators list unknown calls over gRPC
        Given a daemon's gRPC server with one unknown call
        Then a claim gets its verdict over gRPC
        And an operator gets the list over gRPC, and a caller without a key does not
