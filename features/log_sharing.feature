Feature: Reading the platform's log for others
    One node reads a topic of the platform's log, and its reports confirm to the others that nothing has changed, without a network.

    Scenario Outline: <nodes> nodes make at most <reads> reads in 60 s while nothing but heartbeats is written
        Given <nodes> nodes that follow a platform's log for others
        When they follow it for 60 s while 20 servers write a heartbeat each 1200 ms
        Then they have read it at most <reads> times

        Examples:
            | nodes | reads |
            | 1     | 130   |
            | 6     | 360   |
            | 24    | 576   |
            | 60    | 1440  |

    Scenario: a warm-up that goes on as expected is no change that all nodes read
        Given 24 nodes that follow a platform's log for others
        When they follow it for 60 s while 20 servers write a heartbeat each 1200 ms and count their warm-up down
        Then they have read it at most 576 times

    Scenario: the metrics name the node that reads a topic for the others
        Given 9 nodes that follow a platform's log for others
        When they follow it for 60 s while 20 servers write a heartbeat each 1200 ms
        Then one node shows that it reads "keyed.op", and one that it reads "keyed.servers"

    Scenario Outline: <change> is in force in time on every node although the node that reads for others <fault>
        Given 9 nodes that follow a platform's log for others
        When <change> is written at each of 40 moments, and the node that reads for others <fault>
        Then each node that reaches the log acts on it within 2000 ms

        Examples:
            | change           | fault                      |
            | a configuration  | goes on                    |
            | a configuration  | is killed                  |
            | a configuration  | freezes                    |
            | a configuration  | is cut off from the log    |
            | a configuration  | is refused by the log      |
            | a configuration  | is cut off from the others |
            | a configuration  | loses its next answer      |
            | a turn to cold   | goes on                    |
            | a turn to cold   | is killed                  |
            | an early warm-up | goes on                    |
            | a leaving        | goes on                    |
            | a leaving        | is killed                  |
            | a leaving        | freezes                    |
            | a leaving        | is cut off from the log    |
            | a leaving        | is refused by the log      |
            | a leaving        | is cut off from the others |
            | a leaving        | loses its next answer      |

    Scenario: a node that is refused by the log and hears of no change keeps what it knows
        Given 9 nodes that follow a platform's log for others
        When the last node is refused by the log for 20 s
        Then it has kept its configuration and servers, and has read the log at most 5 times meanwhile
