Feature: Steps in which a node applies what it reads from the platform's log
    Applying a record takes 6 ms. Between two steps, the node reads sockets and runs timers.

    Scenario Outline: a read of <count> <records> does not hold up the event loop until all are applied
        Given a node that has read the log
        When <count> <records> are written, and the node reads them
        Then it has applied all of them in order, at most 2 in a step

        Examples:
            | count | records        |
            | 1     | configurations |
            | 40    | configurations |
            | 1     | server entries |
            | 40    | server entries |

    Scenario: a first read of 40 server entries does not hold up the event loop until all are applied
        When 40 server entries are written, and a node reads the log for the first time
        Then it has applied all of them in order, at most 2 in a step
