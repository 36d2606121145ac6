@loopback
Feature: A fleet of separate processes
    End-to-end calls over real connections, and graceful shutdown.

    Background:
        Given a local fleet of processes

    Scenario: every operation of the example gets a complete answer
        When the sample calls are sent
        Then every sample call gets a complete answer

    Scenario: a graceful shutdown truncates no answer
        Given the first daemon has started to stream an answer
        When the first daemon receives SIGTERM
        Then the first daemon is not ready but still accepts a call
        And the streamed answer is complete
        And the first daemon exits with 0

    Scenario: a second signal aborts the drain, and the exit code reports the unfinished calls
        Given all engines hang
        And a call is pending at the first daemon
        When the first daemon receives SIGTERM
        And the first daemon receives SIGTERM
        Then the first daemon exits with 3

    Scenario: a call that is pending when the drain ends is told that it may have run
        Given all engines hang
        And a call is pending at the first daemon
        When the first daemon receives SIGTERM
        And the first daemon receives SIGTERM
        Then the pending call gets status 502 with executed "unknown"
        And the first daemon exits with 3

    Scenario: SIGHUP does not end a daemon
        Given the first daemon has started to stream an answer
        When the first daemon receives SIGHUP
        Then the streamed answer is complete
        And the first daemon still accepts a call

    Scenario: the exit code of the command line tells the kind of failure
        Then each command exits with its code and prints its text
            | command                            | code | text                      |
            | status                             | 0    | ready, configuration      |
            | status --json                      | 0    | backendServers            |
            | config show                        | 0    | dossier-summary           |
            | timeline                           | 0    | listens on                |
            | status --key-file /dev/null        | 4    | carries no operator's key |
            | config show --key-file /dev/null   | 4    | carries no operator's key |
            | status --address 127.0.0.1:1       | 3    | Cannot read status        |
            | config diff no-such-file.yaml      | 2    | Cannot read               |
            | status --key-file no-such-file.key | 2    | Cannot read key file      |
