@loopback
Feature: Time limit of attempts to connect

    Scenario: an attempt to connect to a server that does not accept ends within its time limit and a tenth of a second
        Given a process that listens and never accepts, with a full queue
        When 5 requests with a connect timeout of 250 ms are sent to it
        Then each of them fails within 350 ms before it was sent

    Scenario Outline: <attempts> whose connections were established do not fail because the event loop was held up for longer than their limit
        Given a server that listens
        When 5 <attempts> with a limit of 250 ms begin, and the event loop is held up for 400 ms
        Then each of the <attempts> succeeds

        Examples:
            | attempts |
            | requests |
            | probes   |
