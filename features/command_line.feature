Feature: Operators' command line
    Commands end with the exit codes that the reference lists, and say what is wrong and what helps.

    Background:
        Given the "rastro-sul" fleet
        And a daemon's operator side over gRPC

    Scenario Outline: a command ends with exit code <code>
        Given <state>
        When an operator runs "<command>" with <key>
        Then the command ends with exit code <code> and says "<text>"

        Examples:
            | state              | command                                          | key       | code | text                     |
            | nothing else       | tier set batch 5                                 | their key | 0    | Version 1 is in the log  |
            | nothing else       | tier set batch 99                                | their key | 1    | its value is 99          |
            | nothing else       | exception remove tiers/desk/rank                 | their key | 1    | there is no              |
            | nothing else       | config explain tiers/nothing/rank                | their key | 1    | has no value there       |
            | nothing else       | exception add tiers/desk/rank 5                  | their key | 2    | --reason is missing      |
            | nothing else       | exception add tiers/desk/rank 5 --reason x --for soon | their key | 2 | such as 2h              |
            | nothing else       | tier set batch                                   | their key | 2    | Not enough positional    |
            | nothing else       | tier set batch 5 --address 127.0.0.1:1           | their key | 3    | 127.0.0.1:1              |
            | nothing else       | tier set batch 5                                 | wrong-key | 4    | no operator's key        |
            | nothing else       | timeline                                         | wrong-key | 4    | no operator's key        |
            | nothing else       | config apply older.yaml --made-against=-1        | their key | 5    | version 0 by launcher    |
            | the log being down | tier set batch 5                                 | their key | 6    | ask again with id        |
