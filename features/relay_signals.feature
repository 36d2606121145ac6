@loopback
Feature: Signals of the relay node process
    Runs the real program as a process. It is stopped once, whatever signals come before or after the one that stops it.

    Scenario Outline: a further signal does not end a draining process that holds calls
        Given a relay program and a server whose calls take 1000 ms
        When <signals> follow each other 100 ms apart while 8 calls are at the server
        Then all 8 calls are answered, and the program exits with code 0

        Examples:
            | signals                   |
            | SIGTERM                   |
            | SIGTERM, SIGTERM          |
            | SIGTERM, SIGTERM, SIGTERM |
            | SIGTERM, SIGINT           |
            | SIGTERM, SIGHUP           |
            | SIGTERM, SIGHUP, SIGTERM  |
            | SIGINT, SIGINT            |
            | SIGINT, SIGTERM           |
            | SIGHUP, SIGTERM, SIGTERM  |

    Scenario Outline: a signal does not end a process that has not started yet
        Given a relay program that is still reading its settings
        When it receives <signals> and can read its settings
        Then it <end>

        Examples:
            | signals          | end               |
            | SIGHUP           | gets ready        |
            | SIGHUP, SIGHUP   | gets ready        |
            | SIGTERM          | exits with code 0 |
            | SIGTERM, SIGTERM | exits with code 0 |
            | SIGHUP, SIGTERM  | exits with code 0 |
