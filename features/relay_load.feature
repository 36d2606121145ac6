Feature: What callers of the relay get under load
    Plays long-tailed calls over fleets of nodes and engines of three speeds with the relay's own decisions.

    Scenario Outline: <case>: what nodes know late costs callers at most a tenth of what they would get
        When the relay plays "<case>"
        Then callers get at least 90 in 100 of what nodes that know each other's calls at any moment would get them

        Examples:
            | case             |
            | 91 nodes, calm   |
            | 91 nodes, bursts |
            | 6 nodes, calm    |

    Scenario Outline: <case>: callers get at least <worth> in 100 of the worth of their calls
        When the relay plays "<case>"
        Then callers get at least <worth> in 100 of the worth of their calls
        And no kind of call is served less than a quarter as often as all

        Examples:
            | case             | worth |
            | 91 nodes, calm   | 72    |
            | 91 nodes, bursts | 60    |
            | 6 nodes, calm    | 72    |
            | 6 nodes, bursts  | 60    |

    Scenario: in bursts, calls that arrive do not find places taken by those that are late
        When the relay plays "6 nodes, bursts"
        Then at most a quarter of the calls of the first rank are late or refused
