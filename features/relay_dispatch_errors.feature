Feature: Errors in the dispatch of waiting calls
    An error in the dispatch costs neither the call that gave the occasion nor those that wait.

    Scenario Outline: a call whose end causes a dispatch that fails is not charged with its error, and <waiting> waiting calls are served
        Given a scheduler of one server with one slot, which is taken
        And <waiting> calls that wait for it
        When <part> fails once as the slot is released
        Then the release succeeds, and the error is reported once
        And the waiting calls get the slot one after the other, and no slot is kept

        Examples:
            | waiting | part                     |
            | 1       | the check of the reach   |
            | 3       | the check of the reach   |
            | 1       | the list of the servers  |

    Scenario Outline: a call that was just queued when a dispatch fails waits on, and keeps no slot after it has ended
        Given a scheduler of one server with one slot, which is taken
        And <waiting> calls that wait for it
        When <part> fails once as a call is queued
        Then the call waits, and the error is reported once
        And the waiting calls get the slot one after the other, and no slot is kept

        Examples:
            | waiting | part                    |
            | 0       | the check of the reach  |
            | 2       | the check of the reach  |
            | 0       | the list of the servers |
