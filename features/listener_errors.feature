@loopback
Feature: Errors of listening servers
    A server whose process has no file descriptor left for a connection gets an error for it, and goes on.

    Scenario Outline: a node does not end at the second error of its port for <use>
        Given a relay node whose servers are known
        When its server for <use> gets 3 errors
        Then the node has logged 3 errors, and answers a call

        Examples:
            | use                  |
            | callers              |
            | calls of nodes       |
            | the readiness check  |
            | metrics              |

    Scenario: a daemon does not end at the second error of its port for callers
        Given a daemon's server for callers that is known
        When it gets 3 errors
        Then the daemon's server has reported 3 errors, and answers a call
