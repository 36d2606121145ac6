Feature: Decisions about calls of a stopping relay node
    What may still be passed on, tested without a network under a virtual clock. Servers: 200 ms to the first event, 20 ms between events.

    Scenario Outline: a call is passed on only if one and a half times its expected duration are left
        Given a service whose calls take <call> ms
        And a node that stops in 7400 ms
        When <passed> ms of the stop have passed
        Then a call of a <kind> route with <events> expected events and an objective of 500 ms <may> be passed on

        Examples:
            | call    | kind   | events | passed | may     |
            | 100     | plain  | 0      | 0      | may     |
            | 100     | plain  | 0      | 7100   | may     |
            | 100     | plain  | 0      | 7101   | may not |
            | 1000    | plain  | 0      | 5900   | may     |
            | 1000    | plain  | 0      | 5901   | may not |
            | unknown | plain  | 0      | 6650   | may     |
            | unknown | plain  | 0      | 6651   | may not |
            | 4000    | stream | 10     | 6800   | may     |
            | 4000    | stream | 10     | 6801   | may not |
            | 4000    | stream | 0      | 1400   | may     |
            | 4000    | stream | 0      | 1401   | may not |
            | 100     | stream | 300    | 0      | may not |

    Scenario: a node that does not stop passes calls on whatever their duration
        Given a service whose calls take 60000 ms
        And a node that does not stop
        Then a call of a plain route with 0 expected events and an objective of 500 ms may be passed on

    Scenario: the end of a stop reaches each open call once, and no call is passed on after it
        Given a service whose calls take 10 ms
        And a node that stops in 7400 ms
        And 3 open calls, of which the second ends
        When the stop ends
        Then the open calls 1, 3 have been told so
        And a call of a plain route with 0 expected events and an objective of 500 ms may not be passed on

    # Guards against answers that are broken off before the last sixth of a short grace, in which their servers may still be at work.
    Scenario Outline: a stop with a grace of <grace> ms keeps its last <kept> ms for final answers
        Then a stop with a grace of <grace> ms keeps <kept> ms

        Examples:
            | grace | kept |
            | 600   | 100  |
            | 3000  | 500  |
            | 3600  | 600  |
            | 8000  | 600  |
