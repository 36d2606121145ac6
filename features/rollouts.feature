Feature: Rollouts of versions
    A bad version is taken back on every node and stays so; a good one has all calls by its deadline.

    Scenario Outline: the ratio of a stratum tells nothing in favour of blame while the version is good
        Given a stratum with <candidate> attempts on the new version, <control> on the old one and <bad> bad in all
        Then the expected ratio is 1 at the tolerated odds and below 1 at even odds

        Examples:
            | candidate | control | bad |
            | 1         | 20      | 3   |
            | 30        | 4       | 30  |
            | 200       | 200     | 37  |

    Scenario Outline: evidence merges to the same findings in any order
        Given evidence of 4 nodes over 40 seconds in which the new version <behaviour>
        When it is merged in order, backwards, and with every report twice
        Then all findings are the same
        And the new version is blamed: <blamed>

        Examples:
            | behaviour                                       | blamed |
            | is as good as the old one                       | no     |
            | fails 1 call in 3                               | yes    |
            | is three times slower                           | yes    |
            | is as slow as the old one on a slow platform    | no     |

    Scenario Outline: a rollout that can't be right is refused with the field named
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        When an operator starts a rollout with <field> "<value>"
        Then the rollout is refused and the problem names "<field>" and "<value>"

        Examples:
            | field    | value      |
            | pool     | nothing    |
            | pool     | Not A Name |
            | version  | 2 0        |
            | deadline | past       |

    Scenario: of two racing operators one gets a conflict
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        When two operators start rollouts of one pool on two nodes at once
        Then one rollout is under way on every node and the other operator is told of it

    Scenario: a rollback wins over a resume that races with it
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And a rollout to "2.0" that was paused
        When one operator rolls it back while another resumes it on another node
        Then the rollout is "rolledBack" on every node
        And no node sends a call to "2.0"

    Scenario: a resume against an older revision is refused
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And a rollout to "2.0" that was paused
        When an operator resumes it against an older revision
        Then the operator is told that the rollout has changed

    Scenario: a start whose answer was lost takes effect once
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And the log loses its answers
        When an operator starts a rollout to "2.0"
        Then the operator is told that it was started
        And every node has 1 rollout

    Scenario Outline: a rolled-back version gets no call, however a node is cut off
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And a rollout to "2.0" that has 3% of the calls
        When <event>
        And an operator rolls the rollout back on the first node
        Then 4 seconds later no node sends a call to "2.0"
        And no node does so once everything is healed, and the rollout is "rolledBack" on every node

        Examples:
            | event                                            |
            | nothing else happens                             |
            | the log goes down                                |
            | the last node is cut off from the log            |
            | the last node is cut off from all others         |
            | the last node is cut off from everything         |
            | the last node is replaced while the log is down  |

    Scenario: a node that is cut off does not raise the share
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And a rollout to "2.0" that has 3% of the calls
        When the last node is cut off from all others
        And the rollout has 90 more seconds
        Then the last node has not raised its share

    Scenario: a version that was taken back is not started again
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And a rollout to "2.0" that was rolled back
        When an operator starts a rollout to "2.0"
        Then the rollout is refused and the problem names "version" and "2.0"

    Scenario Outline: a deadline that can't be met is announced early with its reason
        Given the "rastro-sul" fleet with version "2.0" beside the old one
        And a rollout to "2.0" that <trouble>
        When the rollout has 90 more seconds
        Then the rollout is announced as late before its deadline, since "<reason>"

        Examples:
            | trouble               | reason                                  |
            | was paused            | the rollout is paused                   |
            | needs 30 more servers | too few backend servers run the version |

    Scenario Outline: the receiver is told, once or with an id by which it can tell a repeat
        Given the "rastro-sul" fleet with version "2.0" beside the old one and a webhook receiver that <trouble>
        And a rollout to "2.0" that was rolled back
        When the rollout has 120 more seconds
        Then the receiver has event "rolledBack" under one id
        And the log says that the receiver was told

        Examples:
            | trouble                              |
            | works                                |
            | is down for 60 seconds               |
            | loses its answers for 20 seconds     |
            | is down while the first node dies    |

    Scenario Outline: engines that run two versions
        Given the "rastro-sul" fleet with version "2.0" that <behaviour> on half of the engines
        And a rollout to "2.0" with a deadline of 100 seconds
        When callers send 12 calls a second until the rollout ends
        Then the rollout is "<phase>" on every node before its deadline
        And the engines with "2.0" get <calls> of 30 further calls

        Examples:
            | behaviour        | phase      | calls |
            | is good          | done       | all   |
            | fails every call | rolledBack | none  |
