@loopback
Feature: Start of a relay node

    # Guards against processes that end by themselves at their start (FAULT), and against calls that are read before all ports are open.
    Scenario Outline: a node waits while <what> is in use, and reads no call until then
        Given a relay node whose <port> port is in use <protocol>
        When it is started
        Then it says for which port it waits, and does not listen for callers for 1000 ms
        When the port is free
        Then the node becomes ready

        Examples:
            | what                             | port      | protocol |
            | its port for calls of nodes      | peers     | by TCP   |
            | its port for reports of nodes    | peers     | by UDP   |
            | its port for the readiness check | readiness | by TCP   |
            | its port for metrics             | metrics   | by TCP   |
            | its port for callers             | callers   | by TCP   |

    Scenario Outline: a program whose port is in use <end>
        Given a relay program whose port for callers is in use
        When it is started, and <event> after 2500 ms
        Then it <end>

        Examples:
            | event               | end               |
            | the port is free    | gets ready        |
            | it receives SIGTERM | exits with code 0 |
