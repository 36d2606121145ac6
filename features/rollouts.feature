Feature: Progressive rollouts of versions
    A bad version is rolled back on every node and stays rolled back; a good one gets all calls by its deadline.

    Scenario Outline: the expected likelihood ratio of a stratum does not exceed 1 while the version is good
        Given a stratum with <candidate> attempts on the new version, <control> on the old one and <bad> bad attempts in total
        Then the expected likelihood ratio is 1 at the tolerated odds ratio and below 1 at an odds ratio of 1

        Examples:
            | candidate | control | bad |
            | 1         | 20      | 3   |
            | 30        | 4       | 30  |
            | 200       | 200     | 37  |

    Scenario Outline: the findings depend neither on the order nor on the repetition of reports
        Given evidence of 4 nodes over 40 seconds in which the new version <behaviour>
        When it is merged in order, in reverse order, and with every report repeated
        Then all findings are the same
        And the new version raises an alarm: <alarm>

        Examples:
            | behaviour                                    | alarm |
            | is as good as the old one                    | no    |
            | fails 1 call in 3                            | yes   |
            | is three times slower                        | yes   |
            | is as slow as the old one on a slow platform | no    |

    Scenario Outline: an invalid rollout is rejected with a problem that names the field
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        When an operator starts a rollout with <field> "<value>"
        Then the rollout is rejected and the problem names "<field>" and "<value>"

        Examples:
            | field    | value      |
            | pool     | nothing    |
            | pool     | Not A Name |
            | version  | 2 0        |
            | deadline | past       |

    Scenario: of two operators who start a rollout concurrently one gets a conflict
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        When two operators concurrently start rollouts of one pool on two nodes
        Then one rollout is active on every node and the problem of the other operator names it

    Scenario: a rollback wins over a concurrent resume
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And a rollout to "2.0" that was paused
        When one operator rolls it back while another resumes it on another node
        Then the rollout is "rolledBack" on every node
        And no node sends a call to "2.0"

    Scenario: a resume against an older revision is rejected
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And a rollout to "2.0" that was paused
        When an operator resumes it against an older revision
        Then the operator is told that the rollout has changed

    Scenario: a start whose answer was lost takes effect once
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And the answers of the log are lost
        When an operator starts a rollout to "2.0"
        Then the operator is told that it was started
        And every node has 1 rollout

    Scenario Outline: a rolled-back version gets no call during a log outage or network partition
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And a rollout to "2.0" that has 3% of the calls
        When <event>
        And an operator rolls the rollout back on the first node
        Then 4 seconds later no node sends a call to "2.0"
        And no node does so after the recovery, and the rollout is "rolledBack" on every node

        Examples:
            | event                                                         |
            | no fault occurs                                               |
            | the log goes down                                             |
            | the last node is partitioned from the log                     |
            | the last node is partitioned from all other nodes             |
            | the last node is partitioned from the log and all other nodes |
            | the last node is replaced while the log is down               |

    Scenario: a partitioned node does not increase the new version's share
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And a rollout to "2.0" that has 3% of the calls
        When the last node is partitioned from all other nodes
        And the rollout continues for 90 seconds
        Then the last node has not increased its share

    Scenario: a rolled-back version cannot be rolled out again
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And a rollout to "2.0" that was rolled back
        When an operator starts a rollout to "2.0"
        Then the rollout is rejected and the problem names "version" and "2.0"

    Scenario Outline: a rollout that will miss its deadline is announced early with the reason
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And a rollout to "2.0" that <condition>
        When the rollout continues for 90 seconds
        Then the rollout is announced as late before its deadline, with the reason "<reason>"

        Examples:
            | condition             | reason                                  |
            | was paused            | the rollout is paused                   |
            | needs 30 more servers | too few backend servers run the version |

    Scenario Outline: the receiver gets an event at least once, with an id that identifies repeats
        Given the "rastro-sul" fleet with version "2.0" beside the old one and a webhook receiver that <fault>
        And a rollout to "2.0" that was rolled back
        When the rollout continues for 120 seconds
        Then the receiver has event "rolledBack" with a single id
        And the log records the delivery

        Examples:
            | fault                              |
            | works                              |
            | is down for 60 seconds             |
            | loses its answers for 20 seconds   |
            | is down while the first node stops |

    Scenario Outline: a rollout on engines of two versions ends before its deadline
        Given the "rastro-sul" fleet with version "2.0" that <behaviour> on half of the engines
        And a rollout to "2.0" with a deadline of 100 seconds
        When callers send 12 calls per second until the rollout ends
        Then the rollout is "<phase>" on every node before its deadline
        And the engines with "2.0" get <calls> of 30 further calls

        Examples:
            | behaviour        | phase      | calls |
            | is good          | done       | all   |
            | fails every call | rolledBack | none  |
