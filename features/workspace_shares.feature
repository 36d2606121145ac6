Feature: Workspaces that compete for too little room
    While slots are short, a workspace within its usual share is served as on a calm day, whatever the others send. Free slots are lent at
    once and given back within two seconds.

    Scenario Outline: slots are divided by max-min fairness: <case>
        When <slots> slots are divided among claims of <demands> slots with weights <weights>
        Then the shares are <shares>

        Examples:
            | case                                  | slots | demands    | weights | shares     |
            | room for all                          | 100   | 10, 20, 30 | 1, 1, 1 | 10, 20, 30 |
            | one asks for much more than its share | 60    | 10, 20, 90 | 1, 1, 1 | 10, 20, 30 |
            | shares follow the usual loads         | 60    | 90, 90, 90 | 3, 2, 1 | 30, 20, 10 |
            | what one leaves goes to the others    | 60    | 6, 90, 90  | 3, 2, 1 | 6, 36, 18  |
            | no slots                              | 0     | 5, 5       | 1, 1    | 0, 0       |

    Scenario Outline: what a workspace holds <when> is learned as its usual load: <learned>
        When a workspace holds 4 slots for 60 s, and then 40 slots for <seconds> s <when>
        Then its usual load is between <least> and <most> slots

        Examples:
            | when                                 | seconds | least | most | learned   |
            | while slots are free                 | 60      | 30    | 40   | yes       |
            | until slots are short                | 1       | 3     | 4.5  | no        |
            | while slots are short                | 10      | 3     | 4.5  | no        |
            | while slots are short for a long time | 600     | 6     | 20   | very slowly |

    Scenario Outline: <case>: callers of the other workspaces are served
        Given 8 nodes, of whose callers 8 workspaces send 16 calls a second each, while slots are free
        When a quarter of the servers stops and the workspaces "<hot>" send <rate> calls a second each
        And <fault>
        And 6 s pass
        Then of the calls of the other workspaces at least <usual> are served, and <in time> in time
        And of the calls of "<hot>" at least <served> are served

        Examples:
            | case                                  | hot        | rate | fault                                | usual | in time | served |
            | one workspace at seven times its load | w0         | 112  | nothing else happens                 | 0.95  | 0.95    | 0.5    |
            | three workspaces at four times        | w0, w1, w2 | 64   | nothing else happens                 | 0.95  | 0.93    | 0.5    |
            | one in three reports is lost          | w0         | 112  | one in three reports is lost         | 0.95  | 0.93    | 0.5    |
            | a node is cut off from the others     | w0         | 112  | node 0 hears no other node           | 0.95  | 0.9     | 0.5    |
            | a node restarts                       | w0         | 112  | node 0 restarts                      | 0.95  | 0.93    | 0.5    |

    Scenario: the lowest class of a workspace above its share is refused first, early, and not all callers are asked to return together
        Given 8 nodes, of whose callers 8 workspaces send 16 calls a second each, while slots are free
        When a quarter of the servers stops and the workspaces "w0" send 112 calls a second each
        And 6 s pass
        Then more calls of "w0" in its first class are served in time than twice those in its lowest class
        And refused calls of "w0" were refused within 300 ms on average, and asked to return after times that are 1000 ms apart

    Scenario: a workspace that stops gives its share to the others at once, and gets it back within two seconds
        Given 8 nodes, of whose callers 8 workspaces send 16 calls a second each, while slots are free
        When a quarter of the servers stops and the workspaces "w0, w1" send 112 calls a second each
        And "w2, w3, w4, w5, w6, w7" stop and 2 s pass
        And 3 s pass
        Then of the calls of "w0, w1" at least 0.7 are served
        When "w2, w3, w4, w5, w6, w7" send 16 calls a second each again and 2 s pass
        And 3 s pass
        Then of the calls of "w2, w3, w4, w5, w6, w7" at least 0.95 are served

    Scenario: while slots are free, nothing is held back and nothing is reported
        Given 8 nodes, of whose callers 8 workspaces send 16 calls a second each, while slots are free
        When "w0" sends 64 calls a second and 4 s pass
        Then all calls of "w0" are served in time
        And no node has reported loads of workspaces

    Scenario Outline: reports with <workspaces> workspaces stay small
        Given <workspaces> workspaces with calls at a node while slots are short
        Then its report names at most 12 of them, the largest, in at most <bytes> bytes
        And the sum of 25 such reports names at most 16 of them, in at most <sum bytes> bytes
        And the sum without the part of one node is the sum of the others

        Examples:
            | workspaces | bytes | sum bytes |
            | 3          | 60    | 60        |
            | 800        | 150   | 260       |

    Scenario Outline: contracts <contracts> switch shares of workspaces <state>
        When the settings of the platform name the contracts <contracts>
        Then shares of workspaces are <state>

        Examples:
            | contracts                | state |
            | ["pressure"]             | on    |
            | ["other", "pressure"]    | on    |
            | ["other"]                | off   |
            | []                       | off   |
            | null                     | off   |
