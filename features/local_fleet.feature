Feature: A fleet of separate processes
    The whole path over real connections, and graceful shutdown.

    Background:
        Given a local fleet of processes

    Scenario: every operation of the example is answered whole
        When the sample is sent
        Then every call of the sample gets its whole answer

    Scenario: a graceful shutdown cuts no answer
        Given a streamed answer has begun at the first daemon
        When the first daemon gets SIGTERM
        Then the first daemon is not ready but still takes a call
        And the streamed answer comes whole
        And the first daemon exits with 0

    Scenario: a second signal ends the drain and the calls left are reported
        Given all engines hang
        And a call without an answer waits at the first daemon
        When the first daemon gets SIGTERM
        And the first daemon gets SIGTERM
        Then the first daemon exits with 3

    Scenario: the command line tells what went wrong by its exit code
        Then each command ends with its code and prints its text
            | command                               | code | text                            |
            | status                                | 0    | ready, configuration            |
            | status --json                         | 0    | backendServers                  |
            | config show                           | 0    | dossier-summary                 |
            | timeline                              | 0    | listens on                      |
            | status --key-file /dev/null           | 4    | carries no operator's key       |
            | config show --key-file /dev/null      | 4    | carries no operator's key       |
            | status --address 127.0.0.1:1          | 3    | Cannot read status              |
            | config diff no-such-file.yaml         | 2    | Cannot read                     |
            | status --key-file no-such-file.key    | 2    | Cannot read key file            |
