@loopback
Feature: Operators' command line
    Commands exit with the documented codes, and print what went wrong and how to correct it.

    Background:
        Given the "rastro-sul" fleet
        And a daemon's operator services over gRPC

    Scenario Outline: a command exits with code <code>
        Given <state>
        When an operator runs "<command>" with <key>
        Then the command exits with code <code> and prints "<text>"

        Examples:
            | state                     | command                                               | key         | code | text                    |
            | no other state            | tier set batch 5                                      | a valid key | 0    | Version 1 is in the log |
            | no other state            | tier set batch 99                                     | a valid key | 1    | its value is 99         |
            | no other state            | exception remove tiers/desk/rank                      | a valid key | 1    | there is no             |
            | no other state            | config explain tiers/nothing/rank                     | a valid key | 1    | has no value there      |
            | no other state            | exception add tiers/desk/rank 5                       | a valid key | 2    | --reason is missing     |
            | no other state            | exception add tiers/desk/rank 5 --reason x --for soon | a valid key | 2    | such as 2h              |
            | no other state            | tier set batch                                        | a valid key | 2    | Not enough positional   |
            | no other state            | rollout resume r --revision abc                       | a valid key | 2    | give a whole number     |
            | no other state            | explain 17 --log missing.log                          | a valid key | 2    | Cannot read missing.log |
            | no other state            | tier set batch 5 --address 127.0.0.1:1                | a valid key | 3    | 127.0.0.1:1             |
            | no other state            | tier set batch 5                                      | wrong-key   | 4    | no operator's key       |
            | no other state            | timeline                                              | wrong-key   | 4    | no operator's key       |
            | no other state            | config apply older.yaml --made-against=-1             | a valid key | 5    | version 0 by launcher   |
            | the log being unavailable | tier set batch 5                                      | a valid key | 6    | ask again with id       |
