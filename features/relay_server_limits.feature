Feature: Limits that servers state for the calls of all nodes
    A server may state in its answers how many calls a second it accepts from all nodes together. The limit holds for as long as the
    server states it.

    Scenario Outline: a limit sent as "<value>" is read as <limit>
        When an answer with the limit header "<value>" is read
        Then the limit of the answer is <limit>

        Examples:
            | value     | limit      |
            | 2.3       | 2.3        |
            | 17        | 17         |
            | 0         | 0          |
            |  4.0      | 4          |
            |           | unreadable |
            | -1        | unreadable |
            | 2e3       | unreadable |
            | NaN       | unreadable |
            | Infinity  | unreadable |
            | 0x10      | unreadable |
            | 2,5       | unreadable |
            | 2.3; 4    | unreadable |

    Scenario: a limit that is sent twice is unreadable
        When an answer with two limit headers is read
        Then the limit of the answer is unreadable

    Scenario: the limit is forwarded to the caller like other end-to-end headers
        When an answer with the limit header "2.3" is read
        Then the header is among those for the caller

    Scenario Outline: a node that <history> applies <limit>
        Given a node that knows of no limit
        When the node <history>
        Then it applies <limit>

        Examples:
            | history                                                                   | limit          |
            | got an answer with the limit 3                                            | 3 a second     |
            | got an answer with the limit 3 and then one with 2                        | 2 a second     |
            | got an answer with the limit 3 and then one with 5                        | 5 a second     |
            | got an answer with the limit 3 and then one without                       | no limit       |
            | got an answer with the limit 3 and then one without to an earlier call    | 3 a second     |
            | got an answer with the limit 3 and then one with 5 to an earlier call     | 3 a second     |
            | got an answer with the limit 3 and then one with 2 to an earlier call     | 2 a second     |
            | got an answer without a limit and then one with 3 to an earlier call      | 3 a second     |
            | got an answer with the limit 3 and then an unreadable one                 | 3 a second     |
            | got an answer with the limit 3 and then a refusal without                 | 3 a second     |
            | got an answer with the limit 3 and then an error without                  | 3 a second     |
            | got an answer with the limit 3 and then an unsealed one without           | 3 a second     |
            | got a refusal with the limit 3                                            | 3 a second     |
            | got an answer with the limit 3 from another server at the address         | no limit       |
            | got an unsealed answer with the limit 3                                   | no limit       |
            | got an answer with the limit 3 from the previous incarnation              | no limit       |
            | got an answer with the limit 3 and then none for 11 minutes               | no limit       |
