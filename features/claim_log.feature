Feature: Claims in the log
    The order of the log alone decides who owns a key, and a refusal about a key is true.

    Scenario Outline: the records of a stream decide who owns a key
        When a claim stream holds <records>
        Then attempt "<attempt>" is told "<verdict>"

        Examples:
            | records                                     | attempt | verdict   |
            | nothing                                     | a       | none      |
            | claim a                                     | a       | OWNED     |
            | claim a, claim b                            | b       | HELD      |
            | claim a, claim a                            | a       | OWNED     |
            | claim a, outcome b                          | b       | HELD      |
            | claim a, outcome a                          | b       | RECORDED  |
            | claim a, outcome a, release a               | b       | RECORDED  |
            | claim a, release a                          | b       | none      |
            | claim a, release a, claim b                 | b       | OWNED     |
            | claim a, release a, claim a                 | b       | none      |
            | claim a, release b, claim b                 | b       | HELD      |
            | claim a, release a, claim a, claim b        | b       | OWNED     |
            | release a, claim a                          | b       | none      |
            | claim a, claim b, release a                 | b       | none      |
            | claim a, other-body claim c                 | c       | CONFLICT  |
            | lost records, claim a                       | a       | EXPIRED   |
            | lost records, claim a, outcome a            | b       | EXPIRED   |

    Scenario Outline: a refusal tells whether a claim can have landed
        Given the "rastro-sul" fleet
        When <fault> and a filing is sent to node 1
        Then the caller gets refusal <status> "<type>", executed "<executed>"
        And the plain services took 0 effects

        Examples:
            | fault                                                  | status | type            | executed |
            | the log went down                                      | 503    | log-unavailable | no       |
            | node 1 was cut off from the log and the other nodes    | 503    | log-unavailable | no       |
            | the log goes down as an append lands                   | 503    | log-unavailable | unknown  |
            | the combiner stops with node 1 cut off from the log    | 503    | log-unavailable | unknown  |

    Scenario Outline: a caller who asks again when no backend server takes work gets the truth
        Given the "rastro-sul" fleet
        And a filing that <past>
        And no backend server takes work
        When the caller asks again at node 2
        Then the caller gets refusal 503 "no-backend-server", executed "<executed>"

        Examples:
            | past           | executed |
            | was answered   | unknown  |
            | was never sent | no       |

    Scenario: other calls go on untouched while the log is down
        Given the "rastro-sul" fleet
        And the log is down
        When a filing waits for the log at node 1
        Then no backend server is held for it
        And a status lookup without a key and a dossier summary are answered

    Scenario Outline: a key that is older than the records kept never runs again
        Given a fleet whose log keeps records for 60 seconds and whose node 2 has a clock that is <skew>
        And a filing with a dated key was answered at node 1
        When the caller asks again at node 2 after <age> seconds
        Then the caller gets <outcome>
        And the plain services took 1 effects

        Examples:
            | skew           | age | outcome                                             |
            | right          | 30  | the same answer as before                           |
            | right          | 240 | refusal 422 "key-expired", executed "unknown"       |
            | 10 days slow   | 30  | the same answer as before                           |
            | 10 days slow   | 240 | refusal 422 "key-expired", executed "unknown"       |
            | 1 hour fast    | 30  | the same answer as before                           |
            | 1 hour fast    | 240 | refusal 422 "key-expired", executed "unknown"       |
            | 10 days fast   | 30  | refusal 422 "key-expired", executed "unknown"       |

    Scenario Outline: two nodes that get the same key of a dispatch-once call send it once
        Given the "rastro-sul" fleet
        And <state>
        When lookups with the same key are sent to <nodes>
        Then the plain services got <requests> requests
        And <answered> of the callers got a whole answer and the others a refusal that does not say "not run"

        Examples:
            | state                                    | nodes                    | requests | answered |
            | all nodes reach each other               | nodes 1 and 2 at once    | 1        | 1        |
            | all nodes reach each other               | node 1 twice at once     | 1        | 1        |
            | all nodes reach each other               | node 1, then node 2      | 1        | 1        |
            | all nodes reach each other               | node 1, then node 1      | 1        | 1        |
            | no node reaches another                  | nodes 1 and 2 at once    | 1        | 1        |
            | each node lists only itself              | nodes 1 and 2 at once    | 1        | 1        |
            | node 1 dies as it sends                  | node 1, then node 2      | 1        | 0        |

    Scenario: operators see the calls whose outcome is unknown
        Given the "rastro-sul" fleet
        And node 1 dies as it sends
        When a filing is sent to node 1, another to node 2, and one still runs at node 3
        Then the list of unknown calls at node 3 names only the filing of node 1

    Scenario: claims travel between daemons, and lists to operators, over gRPC
        Given a daemon's gRPC server with one unknown call
        Then a claim gets its verdict over gRPC
        And an operator gets the list over gRPC, and a caller without a key does not
