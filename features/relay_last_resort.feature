@loopback
Feature: Relay node program after an error that nothing caught
    Such an error does not cost the calls that the node holds.

    Scenario: a program that cannot listen ends
        Given a relay program before a server that takes 10 ms
        When a second program is started that has no permission to listen
        Then it logs "node: cannot start", and ends with code 1 within 3000 ms

    Scenario Outline: a program in which <error> occurs answers the call that it holds, and then <end>
        Given a relay program before a server that takes 600 ms
        When <error> occurs while the program holds a call
        Then the call gets the whole answer of the server
        And the program logs "<line>", and <end>

        Examples:
            | error                  | line                           | end               |
            | an uncaught error      | node: uncaught error, leaving  | ends with code 1  |
            | an unhandled rejection | node: unhandled rejection      | serves a new call |
