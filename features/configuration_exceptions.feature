Feature: Defaults and exceptions
    Each exception overrides one value, with a reason, an author and optionally an expiry time.

    Background:
        Given the "rastro-sul" fleet

    Scenario Outline: an exception applies to the workspaces that its path covers
        When an exception sets "<path>" to <value> because "a test"
        Then the promise of "claim-filing" is <pilot> ms for "pilot" and <other> ms for "archive" on every node

        Examples:
            | path                                                      | value | pilot | other |
            | operations/claim-filing/promise/answerMs                  | 20000 | 20000 | 20000 |
            | workspaces/pilot/operations/claim-filing/promise/answerMs | 20000 | 20000 | 10000 |

    Scenario: an exception expires by each node's clock
        Given an exception sets "tiers/desk/rank" to 7 because "a test" for 60 seconds
        And tier "desk" has rank 7 on every node within 4 seconds
        When 60 seconds pass
        Then tier "desk" has rank 0 on every node within 0 seconds
        And the exception of "tiers/desk/rank" is explained as expired, and the default 0 as in force

    Scenario: an exception expires while the log is down
        Given an exception sets "tiers/desk/rank" to 7 because "a test" for 60 seconds
        And the log is down
        When 60 seconds pass
        Then tier "desk" has rank 0 on every node within 0 seconds

    Scenario Outline: an invalid exception is refused
        When an exception sets "<path>" to <value> because "<reason>"
        Then the exception is refused with a problem that names "<named>"

        Examples:
            | path                                           | value | reason | named   |
            | tiers/desk/rank                                | 5     |        | reason  |
            | tiers/desk/rank                                | 99    | a test | 99      |
            | tiers/nothing/rank                             | 5     | a test | nothing |
            | tiers/desk/weight                              | 5     | a test | weight  |
            | workspaces/nobody/operations/claim-filing/tier | 5     | a test | nobody  |
            | workspaces/pilot/keyHash                       | 5     | a test | keyHash |

    Scenario: the recorded author is the owner of the operator key, not the author that the client names
        When the operator "ana" adds an exception that names "somebody" as its author
        Then the exception of "tiers/desk/rank" has the author "ana" on every node

    Scenario: an item that has an exception cannot be removed
        Given an exception sets "workspaces/pilot/operations/claim-filing/tier" to "batch" because "a test"
        When an operator removes workspace "pilot"
        Then the change is refused with a problem that names "workspaces/pilot/operations/claim-filing/tier"

    Scenario Outline: the source of a value is explained
        Given an exception sets "operations/claim-filing/promise/answerMs" to 15000 because "all"
        And an exception sets "workspaces/pilot/operations/claim-filing/promise/answerMs" to 20000 because "one"
        Then "<path>" is explained as <value> from "<source>"

        Examples:
            | path                                                        | value | source                                                    |
            | workspaces/pilot/operations/claim-filing/promise/answerMs   | 20000 | workspaces/pilot/operations/claim-filing/promise/answerMs |
            | workspaces/archive/operations/claim-filing/promise/answerMs | 15000 | operations/claim-filing/promise/answerMs                  |
            | operations/status-lookup/promise/answerMs                   | 2000  | operations/status-lookup/promise/answerMs                 |
