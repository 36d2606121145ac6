@loopback
Feature: Relay node process
    Runs the real program as a process, with a stand-in for the platform's store.

    Scenario: a stalled reader of the log neither delays calls nor keeps the program from exiting
        Given a relay program whose log output is not read
        When 3000 calls that each log a line are sent, 20 at a time
        Then each of them is answered within 1000 ms
        And the program uses less than 200 MB
        When the relay program receives SIGTERM
        Then it exits within 3000 ms with code 0

    # Guards against incidents that cannot be traced, as the last lines of a calm node were buffered when it was killed.
    Scenario: a program that is killed 2 s after a call has written the line about it
        Given a relay program whose log output is not read
        When 1 calls that each log a line are sent, 1 at a time
        And the program is killed 2 s later
        Then its output names the call

    Scenario Outline: the program starts although its compiled code is <state>
        Given a copy of the relay program whose compiled code is <state>
        When it is started without settings
        Then it exits with code 2 and <says> that its compiled code is not used

        Examples:
            | state             | says         |
            | stored            | does not say |
            | missing           | says         |
            | cut off           | says         |
            | of another flag   | says         |
            | of another bundle | says         |
            # Guards against processes that end by a signal at each start (FAULT), as the engine runs code as it is.
            | damaged at a tenth of its length | says |
            | damaged in its middle            | says |
            | damaged at its end               | says |
