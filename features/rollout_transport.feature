@loopback
Feature: Rollout calls, webhooks and engine orders over the network
    Operators need a key, receivers get each event as JSON with its id, and engines report why they reject an order.

    Scenario Outline: an operator's rollout calls need a valid key
        Given a daemon's server whose operators have the key "secret"
        When an operator <call> with <key>
        Then the call is <outcome>, and the rollout handler has received <count> calls

        Examples:
            | call              | key          | outcome  | count |
            | lists rollouts    | key "secret" | answered | 1     |
            | lists rollouts    | key "other"  | refused  | 0     |
            | starts a rollout  | no key       | refused  | 0     |
            | changes a rollout | no key       | refused  | 0     |

    Scenario Outline: an operator's rollout calls over TLS need the certificates of the command line
        Given a daemon's server with certificates whose operators have the key "secret"
        When an operator with <certificate> lists rollouts with key "secret"
        Then the call is <outcome>, and the rollout handler has received <count> calls

        Examples:
            | certificate                | outcome    | count |
            | the certificate "operator" | answered   | 1     |
            | plain text                 | unanswered | 0     |

    Scenario Outline: a webhook delivers an event over HTTP with its stable id
        Given a webhook receiver over HTTP that answers <status>
        When event "r1/done" is delivered to it
        Then the receiver has the id "r1/done" in header and body, and the delivery <outcome>

        Examples:
            | status | outcome  |
            | 204    | succeeds |
            | 500    | fails    |
            | 302    | fails    |

    Scenario: an engine over HTTP applies an order, reports its setup and rejects an order with an older fencing number
        Given an engine over HTTP that checks fencing numbers
        When it is ordered to version "2.0" with fencing number 7 and to version "bad" with fencing number 6
        Then the second order is rejected as "fenced"
        And the engine's setup changes to version "2.0"
