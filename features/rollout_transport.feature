Feature: Rollouts and orders over the wire
    Operators need a key, receivers get each event as JSON with its id, engines tell why they refuse.

    Scenario Outline: an operator's call about rollouts needs the key
        Given a daemon's server whose operators have the key "secret"
        When an operator <call> with <key>
        Then the call is <outcome>, and the rollout desk has got <count> calls

        Examples:
            | call               | key          | outcome  | count |
            | lists rollouts     | key "secret" | answered | 1     |
            | lists rollouts     | key "other"  | refused  | 0     |
            | starts a rollout   | no key       | refused  | 0     |
            | changes a rollout  | no key       | refused  | 0     |

    Scenario Outline: an operator's call about rollouts goes over the certificates of the command line
        Given a daemon's server with certificates whose operators have the key "secret"
        When an operator with <certificate> lists rollouts with key "secret"
        Then the call is <outcome>, and the rollout desk has got <count> calls

        Examples:
            | certificate                | outcome    | count |
            | the certificate "operator" | answered   | 1     |
            | plain text                 | unanswered | 0     |

    Scenario Outline: an event reaches a receiver over HTTP with its stable id
        Given a webhook receiver over HTTP that answers <status>
        When event "r1/done" is delivered to it
        Then the receiver got the id "r1/done" in header and body, and the delivery <outcome>

        Examples:
            | status | outcome  |
            | 204    | succeeds |
            | 500    | fails    |
            | 302    | fails    |

    Scenario: an engine over HTTP takes an order, shows its setup and refuses an older lease's order
        Given an engine over HTTP that checks fencing numbers
        When it is ordered to version "2.0" under lease 7 and to version "bad" under lease 6
        Then the second order is refused as "fenced"
        And the engine's setup reads back as version "2.0"
