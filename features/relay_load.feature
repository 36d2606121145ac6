Feature: Relay under load
    Simulates long-tailed calls over fleets of nodes and engines of three speeds with the relay's own decisions.

    Scenario Outline: <case>: delayed reports between nodes cost callers at most a tenth of the value that they would get
        When the relay simulation runs "<case>"
        Then callers get at least 90 percent of the value that they would get without a delay of the reports

        Examples:
            | case             |
            | 91 nodes, calm   |
            | 91 nodes, bursts |
            | 6 nodes, calm    |

    Scenario Outline: <case>: callers get at least <value> percent of the value of their calls
        When the relay simulation runs "<case>"
        Then callers get at least <value> percent of the value of their calls
        And no kind of call is served less than a quarter as often as all calls together

        Examples:
            | case             | value |
            | 91 nodes, calm   | 72    |
            | 91 nodes, bursts | 60    |
            | 6 nodes, calm    | 72    |
            | 6 nodes, bursts  | 60    |

    Scenario: in bursts, late calls do not take the slots that arriving calls need
        When the relay simulation runs "6 nodes, bursts"
        Then at most a quarter of the calls of the highest rank are late or refused
