@loopback
Feature: Operator authentication and the event timeline
    Operators' calls need a key, every change records the owner of the key, and the timelines of all nodes merge into one.

    Background:
        Given the "rastro-sul" fleet

    Scenario Outline: a call without an operator's key is rejected and has no effect
        Given a daemon's operator services over gRPC
        When an operator with <key> asks it to <call>
        Then the call fails as unauthenticated and has no effect
        And neither the error nor the timeline contains the key

        Examples:
            | key                 | call                     |
            | no key              | change the configuration |
            | the key "wrong-key" | change the configuration |
            | no key              | read the configuration   |
            | the key "wrong-key" | read the timeline        |
            | no key              | read the status          |

    Scenario: a change is recorded under the name of the owner of the key
        Given a daemon's operator services over gRPC
        When an operator with the key "ana-key" asks it to change the configuration
        Then the timeline names the operator "ana"

    Scenario Outline: settings with an invalid list of operators are rejected
        When settings are read whose operators are <operators>
        Then the settings are rejected with a problem that names "<field>"

        Examples:
            | operators                       | field                |
            | an empty list                   | operators            |
            | two with the same name          | operators            |
            | two with the same key           | operators            |
            | one whose hash is the plain key | operators[0].keyHash |

    Scenario: a merged timeline is sorted and names the nodes that could not be read
        When the timelines of three nodes are merged and reading "entry-2" fails after 1 event
        Then the events of "entry-1, entry-2, entry-3" are sorted by time
        And the merged timeline names "entry-2" as unreachable
        And the timeline page has a lane for each of "entry-1, entry-2, entry-3"

    Scenario: a slow reader of the timeline is told how many events were dropped
        When a reader accepts 5 events, then none while 50 arrive, with a queue limit of 10
        Then 10 of them are sent when the reader resumes
        And the reader is told that 40 events were dropped

    Scenario: a slow reader gets the whole backlog
        When a reader accepts a backlog of 2000 events 100 at a time
        Then it receives 2000 events and then the end of the stream
