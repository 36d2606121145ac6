Feature: Orders to engines
    A group of engines has one owner at a time, and ends up in the setup that the owner wants.

    Scenario: of two nodes that want the lease of a group one gets it
        Given 6 engines under orders that check fencing numbers
        When two nodes want the lease of the group at once
        Then only one of them may give orders

    Scenario: a lease whose append answer was lost is held once
        Given 6 engines under orders that check fencing numbers
        And the answers of the log of leases are lost
        When one node wants the lease of the group
        Then it may give orders

    Scenario Outline: a holder that was paused gives no order under a lease that has run out
        Given 6 engines under orders that <check> fencing numbers
        And a node that holds the lease and is paused for <pause> seconds
        When it goes on to order version "2.0"
        Then <outcome>

        Examples:
            | check  | pause | outcome                            |
            | check  | 20    | no engine has got an order         |
            | ignore | 20    | no engine has got an order         |
            | ignore | 3     | all engines are at version "2.0"   |

    Scenario Outline: a late order of the holder before does no lasting harm
        Given 6 engines under orders that <check> fencing numbers
        And a node whose order for version "bad" is held up for <delay> seconds after its check, while its lease runs out
        When another node takes the lease and orders version "2.0"
        Then all engines are at version "2.0"
        And the engines have taken <taken> orders for version "bad" after the first for "2.0"

        Examples:
            | check  | delay | taken |
            | check  | 4     | 0     |
            | ignore | 4     | 0     |
            | check  | 30    | 0     |
            | ignore | 30    | 1     |

    Scenario Outline: loads leave enough engines serving and the weight store to others
        Given 6 engines under orders that check fencing numbers
        And <others> loads of others at the weight store
        When a node orders version "2.0" with <needed> engines needed and <deadline> seconds to the deadline
        Then at least <needed> engines serve at any time
        And all engines are at version "2.0"
        And the group <late> announced as late

        Examples:
            | others | needed | deadline | late   |
            | 0      | 4      | 120      | is not |
            | 0      | 5      | 120      | is not |
            | 4      | 4      | 240      | is not |
            | 0      | 5      | 20       | is     |
