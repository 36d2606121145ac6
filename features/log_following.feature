Feature: Following the platform's log
    How long a node takes to act on a record of the platform's log, without a network.

    Scenario Outline: a configuration change is in force in time although <fault>
        Given a platform's log where <fault>
        When a configuration is written at each of 100 moments of a node's reads
        Then it is always in force within 2000 ms

        Examples:
            | fault                                             |
            | nothing fails                                     |
            | open reads are held until the end of their wait   |
