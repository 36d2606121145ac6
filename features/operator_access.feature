Feature: Operators' access and the time line
    Operators' calls need a key; every change names its owner; the time line of all nodes is one.

    Background:
        Given the "rastro-sul" fleet

    Scenario Outline: a call without an operator's key is refused and nothing is done
        Given a daemon's operator side over gRPC
        When an operator with <key> asks it to <call>
        Then the operator is refused for the key and nothing was done
        And neither the refusal nor the time line holds the key

        Examples:
            | key                 | call                     |
            | no key              | change the configuration |
            | the key "wrong-key" | change the configuration |
            | no key              | read the configuration   |
            | the key "wrong-key" | read the time line       |
            | no key              | read the status          |

    Scenario: a change is on record under the owner of the key
        Given a daemon's operator side over gRPC
        When an operator with the key "ana-key" asks it to change the configuration
        Then the time line names the operator "ana"

    Scenario Outline: settings that name operators wrongly are refused
        When settings are read whose operators are <operators>
        Then the settings are refused with a problem that names "<field>"

        Examples:
            | operators                                     | field               |
            | an empty list                                 | operators           |
            | two of one name                               | operators           |
            | two of one key                                | operators           |
            | one whose hash is the key itself              | operators[0].keyHash |

    Scenario: a node that does not answer is named, and the others' events are shown in order
        When the time lines of three nodes are merged and "entry-2" breaks off after 1 event
        Then the events of "entry-1, entry-2, entry-3" are in one order
        And the merged time line names "entry-2" as not answering
        And the picture has a lane for each of "entry-1, entry-2, entry-3"

    Scenario: a slow reader of the time line is told how many events it missed
        When a reader takes 5 events, then none while 50 come, of which 10 may wait
        Then 10 of them are sent when the reader goes on
        And the reader is told that 40 events were dropped

    Scenario: a reader who takes nothing still gets all of the events kept
        When a reader with 2000 kept events takes 100 at a time
        Then it gets 2000 events and then the end
