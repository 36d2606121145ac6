Feature: Waits for a slot while the node is held up
    A node dispatches waiting calls every 40 ms and, while its event loop is held up, not at all. It runs timers before it reads what has
    arrived. Its first call is a stream at the service's only server. A second call arrives 40 ms later and waits; its latency objective is
    500 ms.

    Scenario Outline: a call is not refused for the <hold> ms for which the node was held up while it waited, and <first>
        Given a node whose call takes the last slot of a server
        When a call with a deadline of <deadline> ms waits, and the node is held up for <hold> ms after <waited> ms
        And the answer of the first call has arrived meanwhile, and <first>
        Then the waiting call gets the slot

        Examples:
            | deadline | waited | hold | first                            |
            | 8000     | 200    | 2500 | waiting calls are dispatched     |
            | 8000     | 200    | 2500 | the answer is read               |
            | 8000     | 200    | 2500 | another call arrives             |
            | 8000     | 760    | 700  | waiting calls are dispatched     |
            | 8000     | 760    | 700  | the answer is read               |
            | 8000     | 760    | 120  | waiting calls are dispatched     |
            | 15000    | 40     | 9000 | waiting calls are dispatched     |
            | 4000     | 200    | 2500 | waiting calls are dispatched     |

    Scenario Outline: a call that waits longer than it may is refused <case>
        Given a node whose call takes the last slot of a server
        And other nodes have <others> calls in time
        When a call with a deadline of <deadline> ms waits, for the <attempt> time, and the node is held up after each <waited> ms for <hold> ms, <times> times
        Then the waiting call is refused after <refused> ms

        Examples:
            | case                                                   | others | deadline | attempt | waited | hold | times | refused |
            | as without a hold-up                                   | 0      | 15000    | first   | 200    | 0    | 1     | 800     |
            | later by the hold-up                                   | 0      | 15000    | first   | 200    | 2500 | 1     | 3300    |
            | later by the first of hold-ups with hardly a turn between them                     | 0      | 15000    | first   | 40     | 120  | 30    | 960     |
            | later by both hold-ups                                 | 0      | 15000    | first   | 200    | 1000 | 2     | 2800    |
            | by a deadline that leaves no time, once what has arrived is read                   | 0      | 3000     | first   | 200    | 2500 | 1     | 2740    |
            | while its deadline leaves time for a server            | 0      | 3500     | first   | 200    | 2500 | 1     | 2900    |
            | by its limit although its deadline leaves too little   | 0      | 900      | first   | 200    | 100  | 1     | 340     |
            | later while calls in time need all slots               | 100    | 15000    | first   | 200    | 2500 | 1     | 2820    |
            | later when its caller retries                          | 100    | 15000    | second  | 200    | 2500 | 1     | 4300    |

    Scenario: a hold-up before a call waits does not lengthen its wait
        Given a node whose call takes the last slot of a server
        When the node is held up for 2500 ms, and then a call with a deadline of 15000 ms waits
        Then the waiting call is refused after 800 ms
