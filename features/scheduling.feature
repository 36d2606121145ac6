Feature: Scheduling
    Under overload, higher tiers take precedence on every node and between nodes, and shed calls are refused at once.

    Scenario Outline: compared with a naive scheduler, no higher tier is shed first and no answer is lost or mismatched
        When the scheduling case "<case>" runs for 14 s under both schedulers, seed <seed>
        Then no higher tier was shed before a lower one
        And every scheduled call got its own complete answer, a truthful refusal or an aborted stream
        And the scheduler meets more "desk" objectives than the naive one

        Examples:
            | case                     | seed |
            | 1x                       | 11   |
            | 2x                       | 11   |
            | 3x                       | 12   |
            | 10x lowest tier          | 13   |
            | slow engine              | 14   |
            | frozen reports           | 15   |
            | 30% of cache events lost | 16   |

    Scenario: a shed call is answered at once
        When the scheduling case "3x" runs for 14 s under both schedulers, seed 17
        Then every call that was shed got "Retry-After" in less than half of its deadline, and executed "no" unless it was sent before

    Scenario: the metrics show queues, sheds and windows with few labels
        When the scheduling case "3x" runs for 8 s under both schedulers, seed 18
        Then the metrics show sheds of "batch" and windows, in fewer than 100 series

    Scenario: a leaving backend server gets no new work 3 s after the VM list shows it
        Given the scheduling case "0.7x" with "language-model-6" leaving after 5 s
        When it runs for 12 s, seed 21
        Then "language-model-6" was sent work before 5 s, and none after 9 s

    Scenario: a backend server that fails is ejected and gets work again later
        Given the scheduling case "0.7x" with "language-model-4" failing from 5 s to 8 s
        When it runs for 20 s, seed 22
        Then fewer than 25 calls were sent to "language-model-4" while it failed
        And "language-model-4" was ejected, and was sent work again before the end

    Scenario Outline: a workspace gets its fair share whatever another one sends
        Given <large> waiting calls of workspace "large" and <small> of "small" in one tier
        When the first <count> calls are dequeued
        Then at least <least> of them are of "small"

        Examples:
            | large | small | count | least |
            | 100   | 5     | 10    | 4     |
            | 5000  | 20    | 40    | 19    |
            | 3     | 3     | 6     | 3     |

    Scenario Outline: an admission claim stops lower ranks and expires when its origin is silent
        Given an admission claim that rank <claimed> is the lowest admitted, in force for <force> ms, <age> ms old
        Then rank <rank> is <stopped>, and rank <claimed> may be shed: <shed>

        Examples:
            | claimed | force | age  | rank | stopped | shed |
            | 0       | 3000  | 100  | 1    | stopped | yes  |
            | 0       | 3000  | 100  | 3    | stopped | yes  |
            | 1       | 3000  | 100  | 1    | open    | yes  |
            | 1       | 3000  | 100  | 2    | stopped | yes  |
            | 0       | 0     | 100  | 1    | stopped | no   |
            | 0       | 1000  | 100  | 1    | stopped | no   |
            | 0       | 3000  | 3200 | 1    | stopped | no   |
            | 0       | 3000  | 3400 | 1    | open    | no   |
            | 0       | 3000  | 9000 | 3    | open    | no   |

    Scenario Outline: the queue is bounded and sheds the lowest tier
        Given a pool whose windows are full and <waiting> waiting calls of rank <rank>
        When <more> calls of rank 0 arrive
        Then <shed> calls of rank <rank> and no others were shed, and <left> calls wait

        Examples:
            | waiting | rank | more | shed | left  |
            | 10000   | 3    | 5    | 5    | 10000 |
            | 9990    | 3    | 5    | 0    | 9995  |

    Scenario Outline: the highest tier is dispatched first, whatever arrived before
        Given a pool whose windows are full and <waiting> waiting calls of rank <rank>
        When <more> calls of rank <later> arrive
        And the windows of the pool have capacity again
        Then the first <more> calls that were dispatched are of rank <first>

        Examples:
            | waiting | rank | more | later | first |
            | 5       | 3    | 2    | 0     | 0     |
            | 5       | 1    | 2    | 0     | 0     |
            | 5       | 0    | 2    | 3     | 0     |

    Scenario Outline: the checker finds a priority inversion
        Given a call of rank <shed> that arrives at <arrives> and is <how> at <leaves>
        And a call of rank <other> that arrives at <arrived> and is "dispatched" at <left>
        Then the checker finds <found>

        Examples:
            | shed | arrives | how  | leaves | other | arrived | left | found               |
            | 0    | 0       | shed | 0      | 1     | 0       | 50   | "still waiting"     |
            | 0    | 0       | shed | 100    | 1     | 120     | 130  | "dispatched beside" |
            | 0    | 0       | late | 100    | 1     | 20      | 40   | "went ahead"        |
            | 0    | 0       | shed | 100    | 1     | 20      | 40   | nothing             |
            | 0    | 0       | shed | 100    | 1     | 300     | 310  | nothing             |
            | 1    | 0       | shed | 100    | 0     | 0       | 150  | nothing             |

    Scenario Outline: a call goes to the engine that caches its prefix, unless waiting there costs more
        Given engines of equal speed where "<holder>" caches <cached> tokens of a prompt of 2000 tokens
        And "<holder>" has <pending> tokens to prefill before the call
        Then the call is sent to <choice>

        Examples:
            | holder   | cached | pending | choice         |
            | engine-2 | 1920   | 0       | "engine-2"     |
            | engine-2 | 1920   | 1000    | "engine-2"     |
            | engine-2 | 640    | 4000    | another engine |
