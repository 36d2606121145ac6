Feature: Dissemination
    Nodes gossip their latest values by priority within a byte budget, and no value is replaced by an older one.

    Background:
        Given 4 domains of 5 membership nodes each

    Scenario Outline: a value reaches every node
        When node "a-1" publishes "first" as "<topic>" for "pool"
        Then within <seconds> seconds every other node reads "first" from "a-1" as "<topic>" for "pool"
        And every other node received "first" from "a-1" once
        And the age of the value at "d-5" counts from its publication, within 500 ms

        Examples:
            | topic                | seconds |
            | RollbackVeto         | 3       |
            | ConfigurationVersion | 3       |
            | AdmissionLevel       | 3       |
            | SentLoad             | 15      |
            | RolloutEvidence      | 15      |

    Scenario: the latest of many values wins and is not replaced by an older one
        When node "a-1" publishes the numbers from 1 to 50 as "AdmissionLevel" for "pool", one every 100 ms
        Then within 5 seconds every other node reads "50" from "a-1" as "AdmissionLevel" for "pool"
        And the numbers from "a-1" strictly increased at every node

    Scenario: nodes stay within their byte budget and send high-priority values first when it is short
        When every node publishes 40 values of 200 bytes as "RolloutEvidence" every second, 20 times
        And node "a-1" publishes "veto" as "RollbackVeto" for "model"
        Then within 5 seconds every other node reads "veto" from "a-1" as "RollbackVeto" for "model"
        And no node has sent more bytes than its budget allows

    Scenario: of deferrable values those of higher priority are fresher when the byte budget is short
        When every node publishes 15 values of 200 bytes as "SentLoad" and as "RolloutEvidence" every second, 20 times
        Then at node "a-2" the values of its domain as "SentLoad" are fresher than those as "RolloutEvidence"

    Scenario: values reach nodes of their own domain first when the byte budget is short
        When every node publishes 40 values of 200 bytes as "RolloutEvidence" every second, 20 times
        Then node "a-2" holds more values of its own domain than of any other

    Scenario: values merge without a regression after a partition heals
        When domain "a" is partitioned from the others for 30 seconds
        And node "a-1" publishes "inside" as "RollbackVeto" for "model"
        And node "b-1" publishes "outside" as "RollbackVeto" for "model"
        And node "b-1" publishes the numbers from 1 to 5 as "ConfigurationVersion" for "version", one every 1000 ms
        Then node "b-2" reads nothing from "a-1" as "RollbackVeto"
        And node "a-2" reads "inside" from "a-1" as "RollbackVeto"
        When 120000 ms pass for the members
        And the partition heals
        Then within 15 seconds every other node reads "inside" from "a-1" as "RollbackVeto" for "model"
        And within 1 seconds every other node reads "outside" from "b-1" as "RollbackVeto" for "model"
        And within 1 seconds every other node reads "5" from "b-1" as "ConfigurationVersion" for "version"
        And the numbers from "b-1" strictly increased at every node

    Scenario: a node that joins late receives the values that were published before
        When node "a-1" publishes "early" as "RollbackVeto" for "model"
        And 60000 ms pass for the members
        And membership node "c-9" starts at "10.0.2.9:7000"
        Then within 15 seconds node "c-9" reads "early" from "a-1" as "RollbackVeto"

    Scenario: values of a removed node are not read, nor those of its previous process after a restart
        When node "a-1" publishes "old" as "AdmissionLevel" for "pool"
        And 5000 ms pass for the members
        And membership node "a-1" crashes
        And 10000 ms pass for the members
        Then node "a-2" reads nothing from "a-1" as "AdmissionLevel"
        When membership node "a-1" starts at "10.0.0.1:7000"
        And 20000 ms pass for the members
        Then node "a-2" reads nothing from "a-1" as "AdmissionLevel"
        When node "a-1" publishes "new" as "AdmissionLevel" for "pool"
        Then within 3 seconds every other node reads "new" from "a-1" as "AdmissionLevel" for "pool"

    Scenario: a value that is lost in transit is repaired
        When domain "a" is partitioned from the others for 0 seconds
        And node "a-1" publishes "late" as "SentLoad" for "pool"
        And 5000 ms pass for the members
        And the partition heals
        Then within 60 seconds every other node reads "late" from "a-1" as "SentLoad" for "pool"

    Scenario: a topic of a later protocol version is forwarded
        When node "a-1" publishes "future" as topic 99 for "pool"
        Then within 15 seconds every other node reads "future" from "a-1" as topic 99 for "pool"

    Scenario: a value that is too long is refused with an error that names it
        When node "a-1" publishes a value of 513 bytes
        Then publishing fails with "Cannot publish value \"pool\" of topic 3: it has 513 bytes, at most 512 are allowed"
