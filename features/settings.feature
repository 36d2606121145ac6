Feature: Settings of a daemon
    All invalid settings are reported in one error, each with its path, its value and what is allowed.

    Scenario: valid settings are accepted, with defaults for omitted ones
        When valid settings are read
        Then the drain limit is 60000 ms and the log level is "info"

    Scenario Outline: an invalid setting is named
        When settings are read in which "<path>" is <value>
        Then the error names "<path>", "<shown>" and "<allowed>"

        Examples:
            | path                | value          | shown          | allowed                                |
            | node                | "Entry 1"      | "Entry 1"      | lower-case letters, digits and hyphens |
            | listen.callers      | "localhost:80" | "localhost:80" | an IP number and a port                |
            | platform.log        | missing        | missing        | expected string                        |
            | drain.limitMs       | -1             | -1             | >=0                                    |
            | logLevel            | "loud"         | "loud"         | debug                                  |
            | claims.keyHorizonMs | 1              | 1              | >=60000                                |

    Scenario: all invalid settings are named in one error
        When settings are read in which "node" and "listen.peers" are both invalid
        Then the error names both

    Scenario Outline: the daemon's check of a settings file
        When the daemon checks a file that is <state>
        Then it exits with <code> and says "<text>"

        Examples:
            | state    | code | text                      |
            | valid    | 0    | are valid                 |
            | missing  | 2    | no such file              |
            | not YAML | 2    | Cannot read settings      |
            | invalid  | 2    | is wrong: must be 1 to 63 |
