@loopback
Feature: Lines about answers that promise that a call has not run
    Callers repeat calls that are answered with 408, 421, 429 or 503. Whether such an answer was true can be judged only if its call, the
    part of the node that decided on it and what that part knew are logged.

    # Guards against refusals that no line names, as lines are dropped in a burst.
    Scenario: each of 200 refusals in a burst is logged
        Given a relay whose answers without a run are logged, and no backend server
        When 200 calls come at once
        Then each of them is answered with 503 and logged once as decided by "no slot"

    # Guards against answers of the transport that leave no line.
    Scenario Outline: a call that <event> is logged
        Given a relay whose answers without a run are logged, and a backend server
        When a call <event>
        Then it is answered with <status> and logged once as decided by "<place>" with attempts "<attempts>"
        And `foxtailrail explain` shows the place "<place>" of the call

        Examples:
            | event                                  | status | place          | attempts |
            | is refused by the backend server       | 503    | no slot        | refused  |
            | finds the backend server's port closed | 503    | no slot        | unsent   |
            | is read in part as the node stops      | 503    | unread at stop |          |
            | ends its body late in a stop           | 503    | stop           |          |

    Scenario: a call whose body does not fit in the memory is logged
        Given a port for callers with memory for 200000 bytes
        When a call with a body of 300000 bytes comes
        Then it is answered with 503 and reported as decided by "memory"
