Feature: A call that is refused as not run has not run, and will not
    One relay node before 1 to 4 servers, with up to two peers. Each attempt at a server or peer ends in a drawn way, at a drawn time:
    answered, refused, handed back, not reached, broken off, silent, or with an error inside the node. Callers leave, and the node stops,
    at drawn times. What the servers and peers may have run is their own list.

    # Guards against a promise that a call has not run which overlooks one of several attempts.
    Scenario Outline: <runs> drawn histories of <kind> calls
        When <runs> histories of <kind> calls are drawn with seed <seed>
        Then no answer promises that a call has not run that may have, and none is sent after its answer

        Examples:
            | kind             | runs | seed |
            | unsafe           | 600  | 1    |
            | stream           | 600  | 2    |
            | safe             | 600  | 3    |
            | resumable stream | 600  | 4    |

    # Guards against an exit that answers without regard to the attempts of the call.
    Scenario: a promise that a call has not run and an attempt exclude each other, in any order
        When 2000 orders of attempts, their ends and answers of the node are drawn with seed 5
        Then each answer that was written is true, and nothing is sent after a promise
