@loopback
Feature: System clock

    Scenario: no sleep ends early although the event loop was busy when it began
        When 300 sleeps of 3 ms begin after 2 ms of work each
        Then none of them has ended before its time

    Scenario Outline: a limit that ends while the event loop is held up is judged after what arrived before is read
        Given a sleep of <sleep> ms that a byte on a connection cancels
        When the byte is sent and the event loop is held up for <hold-up> ms
        Then the sleep was cancelled

        Examples:
            | sleep | hold-up |
            | 20    | 60      |
            | 60    | 61      |
            | 20    | 400     |

    Scenario Outline: timers that fire late report for how long the event loop was held up, once for all of them
        Given a clock that reports hold-ups
        When <sleeps> sleeps of 20 ms begin and the event loop is held up for <hold-up> ms
        Then <reports> hold-up is reported, of at least <reported> ms

        Examples:
            | sleeps | hold-up | reports | reported |
            | 5      | 200     | 1       | 150      |
            | 1      | 100     | 1       | 50       |
