Feature: Rollouts by relay nodes
    Six nodes roll out a version within 15 s before modelled servers of unlike speeds. A bad version gets at most a tenth of the calls
    plus 50 until the deadline, and none later than 5 s after its 50th bad answer; a good one is completed by the deadline.

    Scenario Outline: a version of <kind> whose servers <fault> is rolled back
        Given 6 relay nodes before servers that send <kind>
        When a version is rolled out whose servers <fault>
        Then it is rolled back and gets no more calls than a bad version may get

        Examples:
            | kind          | fault                                                                       |
            | streams       | fail half of their calls                                                    |
            | streams       | send their first event five times as late                                   |
            | streams       | send events three times as slowly                                           |
            | streams       | send events five times as slowly after 9 s                                  |
            | streams       | fail half of their calls after 9 s                                          |
            | streams       | close half of their connections                                             |
            | streams       | send events three times as slowly while the log is down for half of the nodes |
            | streams       | send events three times as slowly once they get all calls                   |
            | whole answers | fail half of their calls                                                    |
            | whole answers | answer five times as late                                                   |
            | whole answers | fail half of their calls after 9 s                                          |
            | whole answers | fail half of their calls while the log is down for half of the nodes        |
            | whole answers | fail half of their calls while all servers fail a quarter                   |
            | whole answers | fail half of their calls while a node is cut off from its peers |
            | whole answers | fail half of their calls while four nodes restart                           |

    Scenario Outline: a good version of <kind> is completed in time although <trouble>
        Given 6 relay nodes before servers that send <kind>
        When a good version is rolled out and <trouble>
        Then it is completed in time

        Examples:
            | kind          | trouble                                            |
            | streams       | nothing happens                                    |
            | streams       | two of its servers crash                           |
            | streams       | all servers fail a quarter of their calls          |
            | streams       | twice as many calls come                           |
            | streams       | four nodes restart                                 |
            | whole answers | nothing happens                                    |
            | whole answers | two of its servers crash                           |
            | whole answers | a server of each version crashes                   |
            | whole answers | all servers fail a quarter of their calls          |
            | whole answers | twice as many calls come                           |
            | whole answers | a third of the nodes loses the log for 4 s         |

    Scenario: 24 nodes that report through aggregators roll a bad version back
        Given 24 relay nodes before servers that send whole answers
        When a version is rolled out whose servers fail half of their calls
        Then it is rolled back and gets no more calls than a bad version may get

    Scenario: 24 nodes that report through aggregators complete a good version in time
        Given 24 relay nodes before servers that send whole answers
        When a good version is rolled out and two of its servers crash
        Then it is completed in time

    Scenario: nodes that have lost the log stop sending calls to a version that the others roll back
        Given 6 relay nodes before servers that send whole answers
        When a version is rolled out whose servers fail half of their calls while the log is down for half of the nodes
        Then no node sends it calls later than 1 s after the rollback is recorded
