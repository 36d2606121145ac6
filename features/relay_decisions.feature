Feature: Decisions of the relay
    Each decision is a unit of its own, tested without a network under a virtual clock.

    Scenario Outline: the longest matching path prefix of a host wins
        Given routes of "a.example" for "/", "/x/" and "/x/y/"
        Then a call of "<host>" for "<path>" takes the route "<route>"

        Examples:
            | host           | path   | route |
            | a.example      | /z     | /     |
            | a.example      | /x/1   | /x/   |
            | A.Example:8080 | /x/y/1 | /x/y/ |
            | a.example      | /x/y   | /x/   |
            | b.example      | /x/    | none  |

    Scenario: calls in time go first, then late retries, then other late calls; ties go by workspace, route and newest first
        Given these waiting calls at 1000 ms
            | call            | workspace | route | in time until | arrived | retry    |
            | late top        | 0         | 0     | 900           | 500     | no       |
            | later top       | 0         | 0     | 950           | 550     | no       |
            | low             | 0         | 2     | 1500          | 700     | no       |
            | top             | 0         | 0     | 1400          | 900     | no       |
            | top before      | 0         | 0     | 1300          | 800     | no       |
            | top again       | 0         | 0     | -3000         | 950     | yes      |
            | other workspace | 1         | 0     | 1300          | 600     | no       |
        Then they are dispatched in the order "top, top before, low, other workspace, top again, later top, late top"

    Scenario Outline: a call waits as long as it can be served before its caller disconnects
        When a call with an objective of <objective> ms and a deadline of <deadline> ms arrives
        Then it is in time for <in time> ms and may wait for <wait> ms

        Examples:
            | objective | deadline | in time | wait |
            | 500       | 15000    | 300     | 800  |
            | 300       | 12000    | 180     | 480  |
            | 300       | 1000     | 180     | 350  |
            | 300       | 900      | 80      | 540  |

    Scenario Outline: retries of refused callers are spread over their remaining time
        When 100 callers with <left> ms left are refused
        Then they are asked to retry after <earliest> ms to <latest> ms, spread over this range

        Examples:
            | left  | earliest | latest |
            | 15000 | 2400     | 4800   |
            | 2000  | 320      | 640    |

    Scenario: a caller with too little time left is not asked to retry
        When 5 callers with 700 ms left are refused
        Then they are not asked to retry

    Scenario: a call goes to the server with a free slot that is expected to send its first event soonest
        Given these servers
            | server | domain | slots | calls | peers | ms per 1000 tokens |
            | slow   | here   | 10    | 0     | 0     | 40                 |
            | fast   | here   | 10    | 0     | 0     | 5                  |
            | full   | here   | 4     | 2     | 2     | 1                  |
        Then a call of 6000 tokens goes to "fast"
        And a call of 6000 tokens that was sent to "fast" before goes to "slow"

    Scenario: calls stay in their failure domain while servers there are about as fast
        Given these servers
            | server | domain | slots | calls | peers | ms per 1000 tokens |
            | near   | here   | 10    | 0     | 0     | 10                 |
            | far    | there  | 10    | 0     | 0     | 9                  |
        Then a call of 1000 tokens goes to "near"

    Scenario: a failing server gets at most trial calls, unless most servers fail
        Given these servers
            | server | domain | slots | calls | peers | ms per 1000 tokens |
            | bad    | here   | 10    | 0     | 0     | 1                  |
            | good   | here   | 10    | 0     | 0     | 20                 |
            | other  | here   | 10    | 0     | 0     | 20                 |
        When 6 calls at "bad" fail
        Then a call of 1000 tokens goes to "good" or "other"
        When 6 calls at "good" fail
        And 6 calls at "other" fail
        Then a call of 1000 tokens goes to "bad"

    Scenario: an unresponsive server with a call in flight gets no further calls
        Given these servers
            | server | domain | slots | calls | peers | ms per 1000 tokens |
            | hung   | here   | 10    | 1     | 0     | 1                  |
            | good   | here   | 10    | 0     | 0     | 20                 |
        When 900 ms pass
        Then a call of 1000 tokens goes to "good"

    Scenario Outline: the quota of a workspace holds across all nodes whatever the interval of their reports
        Given <nodes> nodes that report to each other every <interval> ms and a quota of 1000 tokens a second with a burst of 1000
        When a workspace requests <requested> tokens a second for 20 s, <spread>
        Then at most <most> tokens are admitted in any 8 s
        And at least <least> tokens are admitted in total

        Examples:
            | nodes | interval | requested | spread                | most  | least |
            | 6     | 200      | 900       | evenly over the nodes | 9000  | 17900 |
            | 6     | 200      | 7500      | evenly over the nodes | 10500 | 19000 |
            | 6     | 200      | 7500      | all at one node       | 10500 | 19000 |
            | 9     | 300      | 7500      | evenly over the nodes | 10500 | 19000 |

    Scenario: nodes on both sides of a partition keep the quota together
        Given 6 nodes of which 2 are isolated from the others and a quota of 1000 tokens a second with a burst of 1000
        When a workspace requests 7500 tokens a second for 12 s, evenly over the nodes
        Then at most 10500 tokens are admitted in any 8 s

    Scenario Outline: a server whose entry is removed <when> is <then>
        Given a catalog with the server "s"
        When the entry of "s" is removed <when>
        Then the server is <then>

        Examples:
            | when                                                    | then                           |
            | while the log is available                              | removed at once                |
            | during an outage of the log and does not return         | removed 2.2 s after the outage |
            | during an outage of the log and returns 1.9 s after     | kept                           |
            | during an outage of this node alone and does not return | removed at once                |

    Scenario Outline: a removal after an outage is final once a peer has stated that it read the log for as long as servers take to register again
        Given a catalog with the server "s"
        When the entry of "s" is removed after an outage, while a peer has read the log for <read> ms and its last report is <age> ms old
        Then the server is removed <later> ms later

        Examples:
            | read | age | later |
            | 4000 | 0   | 0     |
            | 3900 | 500 | 0     |
            | 2200 | 0   | 0     |
            | 2200 | 500 | 500   |
            | 1200 | 0   | 1000  |
            | 0    | 0   | 2200  |

    Scenario: reports of an earlier incarnation are ignored
        Given a catalog with the server "s"
        When reports arrive with these start times and sequence numbers
            | start | sequence | state    |
            | 2000  | 1        | ready    |
            | 1000  | 9        | draining |
            | 2000  | 3        | draining |
            | 2000  | 2        | ready    |
        Then the server "s" has start time 2000 and is draining

    Scenario Outline: only complete events are forwarded, however their bytes are split
        When an event stream arrives in chunks of <size> bytes and breaks off within the last event
        Then 3 complete events are forwarded unchanged, and the last id is "3"

        Examples:
            | size |
            | 1    |
            | 7    |
            | 1000 |

    Scenario Outline: a new version <what>
        Given a rollout of 14000 ms after <elapsed> ms, with <bad> of <target> calls bad at the new version and <bad before> of <before> at the current one
        Then its state is "<state>" and its share <share>

        Examples:
            | what                           | elapsed | target | bad | before | bad before | state      | share |
            | gets few calls at first        | 500     | 0      | 0   | 60     | 2          | running    | 0.04  |
            | is not judged by a few calls   | 500     | 2      | 2   | 60     | 1          | running    | 0.04  |
            | is rolled back if none succeed | 2000    | 9      | 9   | 200    | 2          | rolledBack | 0     |
            | is rolled back when it fails   | 3000    | 15     | 6   | 400    | 4          | rolledBack | 0     |
            | is kept when all versions fail | 3000    | 15     | 6   | 400    | 150        | running    | 0.04  |
            | gets more calls near the end   | 12000   | 80     | 2   | 2000   | 40         | running    | 0.2   |
            | gets half at low traffic       | 12000   | 10     | 0   | 200    | 0          | running    | 0.5   |
            | gets all calls at the end      | 13350   | 80     | 2   | 2000   | 40         | completed  | 1     |
            | is rolled back even at the end | 13900   | 80     | 40  | 2000   | 40         | rolledBack | 0     |
            | is not completed unknown       | 13350   | 11     | 0   | 200    | 0          | running    | 0.5   |
            | is not completed when doubtful | 13350   | 80     | 9   | 2000   | 20         | running    | 0.5   |
            | is completed late if unknown   | 18000   | 11     | 0   | 200    | 0          | completed  | 1     |
            | is rolled back if doubtful     | 18000   | 80     | 9   | 2000   | 20         | rolledBack | 0     |

    Scenario: a server that closes all its connections counts as one failed call of its version
        Given a rollout of 14000 ms after 3000 ms, with 9 of 15 calls broken by one server of the new version and 4 of 400 calls bad at the current one
        Then its state is "running" and its share 0.04

    Scenario: a version that turns bad at any time stays within its budget of calls
        When versions that turn bad after each tenth of a rollout are rolled out at 130 calls a second
        Then none of them gets more than a tenth of the calls plus 50

    Scenario Outline: a node may take <case>
        Given <servers> servers of <slots> slots that hold <taken> calls of <call ms> ms
        When this node has <own> and the other nodes <others> calls in time, and <own rate> and <other rate> arrive each second
        Then this node may take <most> slots until the next report

        Examples:
            | case                                                | servers | slots | taken | call ms | own | others | own rate | other rate | most     |
            | any slot while enough are free                      | 4       | 10    | 10    | 500     | 1   | 10     | 5        | 50         | any      |
            | any slot that short calls will free soon            | 5       | 6     | 4     | 20      | 1   | 10     | 4        | 190        | any      |
            | its share when all nodes have equal demand          | 4       | 10    | 36    | 500     | 4   | 36     | 0        | 0          | 1 or 2   |
            | most slots when it has most of the calls            | 4       | 10    | 36    | 500     | 36  | 4      | 0        | 0          | 12 to 14 |
            | at most one when other nodes have most of the calls | 4       | 10    | 40    | 50000   | 1   | 500    | 0        | 0          | 0 or 1   |

    Scenario: a node takes its share of the calls that servers accept although all their slots are free
        Given 4 servers of 10 slots that hold 0 calls of 500 ms
        And all of them accept 2 calls a second and 1 calls now
        When this node has 4 and the other nodes 36 calls in time, and 0 and 0 arrive each second
        Then this node may take 0 or 1 slots until the next report

    Scenario: the first measured duration of a call replaces the initial estimate
        When a call of 40 ms is measured at a service whose calls were estimated to last 20 ms
        Then calls are expected to last 40 ms from then on

    Scenario Outline: a late call is refused <when>
        Given one server whose 100 slots are taken
        And other nodes with <others> calls in time
        When a call with an objective of 500 ms and a deadline of 15000 ms waits for a slot, <attempt>
        Then it is refused after <refused> ms

        Examples:
            | when                                                     | others | attempt             | refused |
            | as soon as it is late while calls in time need all slots | 100    | for the first time  | 320     |
            | at its wait limit while late calls are served            | 0      | for the first time  | 800     |
            | later when its caller retries                            | 100    | for the second time | 1800    |
