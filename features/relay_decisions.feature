Feature: Decisions of the relay
    Each decision is code of its own that no network is needed for.

    Scenario Outline: the longest prefix of a host wins
        Given routes of "a.example" for "/", "/x/" and "/x/y/"
        Then a call of "<host>" for "<path>" takes the route "<route>"

        Examples:
            | host           | path    | route |
            | a.example      | /z      | /     |
            | a.example      | /x/1    | /x/   |
            | A.Example:8080 | /x/y/1  | /x/y/ |
            | a.example      | /x/y    | /x/   |
            | b.example      | /x/     | none  |

    Scenario: calls in time go first, then those whose callers have come back; then workspace and route decide, then the newest
        Given these waiting calls at 1000 ms
            | call            | workspace | route | in time until | arrived | returned |
            | late top        | 0         | 0     | 900           | 500     | no       |
            | later top       | 0         | 0     | 950           | 550     | no       |
            | low             | 0         | 2     | 1500          | 700     | no       |
            | top             | 0         | 0     | 1400          | 900     | no       |
            | top before      | 0         | 0     | 1300          | 800     | no       |
            | top again       | 0         | 0     | -3000         | 950     | yes      |
            | other workspace | 1         | 0     | 1300          | 600     | no       |
        Then they are served in the order "top, top before, low, other workspace, top again, later top, late top"

    Scenario Outline: a call waits as long as it can still be served and its caller is still there
        When a call with an objective of <objective> ms and a deadline of <deadline> ms arrives
        Then it is in time for <in time> ms and given up after <given up> ms

        Examples:
            | objective | deadline | in time | given up |
            | 500       | 15000    | 300     | 800      |
            | 300       | 12000    | 180     | 480      |
            | 300       | 1000     | 180     | 350      |
            | 300       | 900      | 80      | 540      |

    Scenario Outline: refused callers come back spread over the time that they still have
        When 100 callers with <left> ms left are refused
        Then they return after <earliest> ms to <latest> ms, and not together

        Examples:
            | left  | earliest | latest |
            | 15000 | 2400     | 4800   |
            | 2000  | 320      | 640    |

    Scenario: a caller who has no time left is not asked to come back
        When 5 callers with 700 ms left are refused
        Then they are not asked to come back

    Scenario: a call goes where its first event comes soonest and a place is free
        Given these servers
            | server | domain | slots | calls | peers | ms per 1000 tokens |
            | slow   | here   | 10    | 0     | 0     | 40                 |
            | fast   | here   | 10    | 0     | 0     | 5                  |
            | full   | here   | 4     | 2     | 2     | 1                  |
        Then a call of 6000 tokens goes to "fast"
        And a call of 6000 tokens that was sent to "fast" before goes to "slow"

    Scenario: calls stay in their failure domain while servers there are as good
        Given these servers
            | server | domain | slots | calls | peers | ms per 1000 tokens |
            | near   | here   | 10    | 0     | 0     | 10                 |
            | far    | there  | 10    | 0     | 0     | 9                  |
        Then a call of 1000 tokens goes to "near"

    Scenario: a server that fails its calls gets no more than trials, unless most servers fail
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

    Scenario: a server that owes an answer and says nothing gets no more calls
        Given these servers
            | server | domain | slots | calls | peers | ms per 1000 tokens |
            | dark   | here   | 10    | 1     | 0     | 1                  |
            | good   | here   | 10    | 0     | 0     | 20                 |
        When 900 ms pass
        Then a call of 1000 tokens goes to "good"

    Scenario Outline: the quota of a workspace holds over all nodes whatever the age of their reports
        Given <nodes> nodes that report to each other every <interval> ms and a quota of 1000 tokens a second with a burst of 1000
        When a workspace asks for <asked> tokens a second for 20 s, <spread>
        Then in no 8 s more than <most> tokens are let through
        And at least <least> tokens are let through in all

        Examples:
            | nodes | interval | asked | spread                | most  | least |
            | 6     | 200      | 900   | evenly over the nodes | 9000  | 17900 |
            | 6     | 200      | 7500  | evenly over the nodes | 10500 | 19000 |
            | 6     | 200      | 7500  | all at one node       | 10500 | 19000 |
            | 9     | 300      | 7500  | evenly over the nodes | 10500 | 19000 |

    Scenario: nodes that cannot hear each other keep the quota together
        Given 6 nodes of which 2 are cut off from the others and a quota of 1000 tokens a second with a burst of 1000
        When a workspace asks for 7500 tokens a second for 12 s, evenly over the nodes
        Then in no 8 s more than 10500 tokens are let through

    Scenario Outline: an entry that vanishes <when> means that the server is gone <then>
        Given a catalog with the server "s"
        When the entry of "s" vanishes <when>
        Then the server is <then>

        Examples:
            | when                                                 | then                     |
            | while the log answers                                | gone at once             |
            | in an outage of the log and does not return          | gone 2.2 s after the end |
            | in an outage of the log and returns 1.9 s after      | kept                     |
            | in an outage of this node alone and does not return  | gone at once             |

    Scenario: reports of an earlier incarnation change nothing
        Given a catalog with the server "s"
        When reports come with these starts and numbers
            | start | number | state    |
            | 2000  | 1      | ready    |
            | 1000  | 9      | draining |
            | 2000  | 3      | draining |
            | 2000  | 2      | ready    |
        Then the server "s" has start 2000 and is draining

    Scenario Outline: events are passed on whole, however their bytes arrive
        When a stream of events arrives in pieces of <size> bytes and breaks within the last event
        Then 3 whole events are passed on unchanged, and the last id is "3"

        Examples:
            | size |
            | 1    |
            | 7    |
            | 1000 |

    Scenario Outline: a version on trial <what>
        Given a move of 14000 ms after <elapsed> ms, with <bad> of <target> calls bad at the new version and <bad before> of <before> at the present one
        Then its state is "<state>" and its share <share>

        Examples:
            | what                             | elapsed | target | bad | before | bad before | state      | share |
            | gets little at first             | 500     | 0      | 0   | 60     | 2          | running    | 0.04  |
            | is not judged by a few calls     | 2000    | 9      | 9   | 200    | 2          | running    | 0.04  |
            | is rolled back when it fails     | 3000    | 15     | 6   | 400    | 4          | rolledBack | 0     |
            | is kept when all versions fail   | 3000    | 15     | 6   | 400    | 150        | running    | 0.04  |
            | gets all calls in the end        | 12950   | 80     | 2   | 2000   | 40         | completed  | 1     |
            | gets all calls when few come     | 12000   | 10     | 0   | 200    | 0          | running    | 1     |
            | is rolled back even in the end   | 13900   | 80     | 40  | 2000   | 40         | rolledBack | 0     |

    Scenario: a version that turns bad at any time stays within the calls that it may get
        When a version that turns bad after every tenth of a move is moved to at 130 calls a second
        Then it never gets more than a tenth of the calls and 50

    Scenario Outline: a node takes <case>
        Given <servers> servers of <slots> places that hold <taken> calls of <call ms> ms
        When this node has <own> and the other nodes <others> calls in time, and <own rate> and <other rate> arrive each second
        Then this node may take <most> places until the next report

        Examples:
            | case                                   | servers | slots | taken | call ms | own | others | own rate | other rate | most     |
            | any place while there are enough       | 4       | 10    | 10    | 500     | 1   | 10     | 5        | 50         | any      |
            | any place that short calls soon leave  | 5       | 6     | 4     | 20      | 1   | 10     | 4        | 190        | any      |
            | its part when all ask for the same     | 4       | 10    | 36    | 500     | 4   | 36     | 0        | 0          | 1 or 2   |
            | most places if it has most calls       | 4       | 10    | 36    | 500     | 36  | 4      | 0        | 0          | 12 to 14 |
            | none that late calls of others leave   | 4       | 10    | 40    | 50000   | 1   | 500    | 0        | 0          | 0 or 1   |

    Scenario: the first measured time of a call replaces the guess
        When calls of 40 ms are measured at a service whose calls were taken to last 20 ms
        Then calls are expected to last 40 ms from the first one on

    Scenario Outline: a late call is refused <when>
        Given one server whose 100 places are taken
        And other nodes with <others> calls in time
        When a call with an objective of 500 ms and a deadline of 15000 ms waits for a place, <returned>
        Then it is refused after <refused> ms

        Examples:
            | when                                               | others | returned             | refused |
            | at once while calls in time ask for all places     | 100    | for the first time   | 320     |
            | when its patience ends while late calls are served | 0      | for the first time   | 800     |
            | later when its caller has come back already        | 100    | for the second time  | 1800    |
