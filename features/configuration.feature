Feature: Configuration in the log
    An accepted change is in force on every node within seconds and is never reverted.

    Background:
        Given the "rastro-sul" fleet

    Scenario: an accepted change is in force on every node
        When an operator changes tier "desk" to rank 5 against the version in force
        Then the change is accepted
        And tier "desk" has rank 5 on every node within 4 seconds

    Scenario: one of two concurrent changes is refused as a conflict
        When two operators change the configuration against the same version
        Then one change is accepted and the other names the version in force

    Scenario Outline: a record that cannot be applied is skipped by every node
        When the log gets a record that <flaw>
        Then every node keeps the version in force
        And the time line of every node has an event "<kind>"

        Examples:
            | flaw                                      | kind     |
            | is not JSON                               | skipped  |
            | has a later format                        | skipped  |
            | names an unknown tier                     | skipped  |
            | removes a tier that is in use             | skipped  |
            | has an invalid change besides a valid one | skipped  |
            | forges the author of an exception         | skipped  |
            | was made against an older version         | conflict |

    Scenario: a change fails while the log is down
        Given the log is down
        When an operator changes tier "desk" to rank 5 against the version in force
        Then the change fails with an error that names the log
        And every node keeps the version in force

    Scenario Outline: an invalid document is refused and its problem is named
        When a document is checked in which <flaw>
        Then the problems name "<field>" and "<value>"

        Examples:
            | flaw                                  | field                          | value      |
            | a tier has rank -1                    | tiers[0].rank                  | -1         |
            | an operation names the tier "nothing" | operations[0].tier             | nothing    |
            | two tiers have the same name          | tiers[1].name                  | desk       |
            | a workspace has the key hash "abc"    | workspaces[0].keyHash          | abc        |
            | a promise has no answer bound         | operations[0].promise.answerMs | missing    |
            | an exception has no reason            | exceptions[0].reason           | reason     |
            | an exception names no field           | exceptions[0].path             | tiers/desk |
            | an exception overrides the semantics  | exceptions[0].path             | semantics  |
            | an exception sets a rank of 99        | exceptions[0].value            | 99         |
