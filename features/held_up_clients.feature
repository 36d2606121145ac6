@loopback
Feature: Clients of servers, nodes and the log while the event loop is held up

    Scenario Outline: <attempt> that succeeds while the event loop is held up beyond its time limit is not given up
        Given a server that answers at once
        When <attempt> with a limit of <limit> ms is made, and the event loop is held up for <hold-up> ms
        Then the attempt has succeeded

        Examples:
            | attempt                   | limit | hold-up |
            | a call on a new connection | 50    | 300     |
            | a call on a new connection | 250   | 251     |
            | a probe of a server       | 50    | 300     |
            | a probe of a server       | 250   | 251     |

    Scenario Outline: <read> whose answer arrives while the event loop is held up beyond its time limit gets it
        Given a log that answers, and holds the event loop up for <hold-up> ms then
        When <read> with a limit of <limit> ms is made
        Then the attempt has succeeded

        Examples:
            | read                         | limit | hold-up |
            | a read of the log            | 100   | 300     |
            | a read of the newest records | 100   | 300     |
            | an append                    | 1000  | 1300    |

    Scenario Outline: <read> without an answer ends at its time limit
        Given a log that does not answer
        When <read> with a limit of <limit> ms is made
        Then the attempt has failed within <end> ms

        Examples:
            | read                         | limit | end  |
            | a read of the log            | 100   | 250  |
            | a read of the newest records | 100   | 250  |
            | an append                    | 1000  | 1200 |
