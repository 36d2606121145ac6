Feature: Engine orders
    One node at a time holds the lease of a group of engines and brings them to the setup that it wants.

    Scenario: one of two nodes that request the lease of a group acquires it
        Given 6 engines that check fencing numbers
        When two nodes request the lease of the group at once
        Then only one of them holds a valid lease

    Scenario: a lease whose append reply is lost is acquired
        Given 6 engines that check fencing numbers
        And the replies of the lease log are lost
        When one node requests the lease of the group
        Then it holds a valid lease

    Scenario Outline: a holder that was paused sends no order under an expired lease
        Given 6 engines that <check> fencing numbers
        And a node that holds the lease and is paused for <pause> seconds
        When it resumes and orders version "2.0"
        Then <outcome>

        Examples:
            | check  | pause | outcome                          |
            | check  | 20    | no engine has accepted an order  |
            | ignore | 20    | no engine has accepted an order  |
            | ignore | 3     | all engines are at version "2.0" |

    Scenario Outline: a delayed order of the previous holder has no lasting effect
        Given 6 engines that <check> fencing numbers
        And a node whose order for version "bad" is delayed for <delay> seconds after the lease check, while its lease expires
        When another node acquires the lease and orders version "2.0"
        Then all engines are at version "2.0"
        And the engines have accepted <accepted> orders for version "bad" after the first for "2.0"

        Examples:
            | check  | delay | accepted |
            | check  | 4     | 0        |
            | ignore | 4     | 0        |
            | check  | 30    | 0        |
            | ignore | 30    | 1        |

    Scenario: an outage of the weight store does not end the reconciliation
        Given 6 engines that check fencing numbers
        And the weight store is down for the next 10 seconds
        When a node orders version "2.0" with 4 engines required to serve and 200 seconds to the deadline
        Then all engines are at version "2.0"
        And the outage of the weight store is recorded

    Scenario Outline: model loads leave enough engines serving and bandwidth of the weight store to others
        Given 6 engines that check fencing numbers
        And <others> model loads of others at the weight store
        When a node orders version "2.0" with <needed> engines required to serve and <deadline> seconds to the deadline
        Then at least <needed> engines serve at any time
        And all engines are at version "2.0"
        And the group <late> reported as late

        Examples:
            | others | needed | deadline | late   |
            | 0      | 4      | 120      | is not |
            | 0      | 5      | 120      | is not |
            | 4      | 4      | 240      | is not |
            | 0      | 5      | 20       | is     |
