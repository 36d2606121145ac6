Feature: Following the platform's log
    How long a node takes to act on a record of the platform's log, without a network.

    Scenario Outline: a configuration change is in force in time although <fault>
        Given a platform's log where <fault>
        When a configuration is written at each of 100 moments of a node's reads
        Then the node always acts on it within 2000 ms

        Examples:
            | fault                                           |
            | nothing fails                                   |
            | open reads are held until the end of their wait |
            | the next answer is lost                         |
            | the next read is refused                        |
            | answers take 350 ms                             |

    Scenario Outline: a leaving server is known in time although <fault>
        Given a platform's log where <fault>
        When a server announces that it leaves at each of 100 moments of a node's reads
        Then the node always acts on it within 2000 ms

        Examples:
            | fault                    |
            | nothing fails            |
            | the next answer is lost  |
            | the next read is refused |
            | answers take 350 ms      |

    Scenario: a log that answers slower than the first timeout is still followed
        Given a platform's log where answers take 900 ms
        When a configuration is written at each of 100 moments of a node's reads
        Then the node always acts on it within 7000 ms

    Scenario: a leaving server is known in time although an answer is lost while all take 350 ms
        Given a platform's log where the next answer is lost
        And its answers have always taken 350 ms
        When a server announces that it leaves at each of 100 moments of a node's reads
        Then the node always acts on it within 2000 ms
