Feature: Messages and records of another build
    In a rolling restart, nodes of two builds serve side by side. Each reads what the other writes. The messages under
    features/fixtures/messages are recorded from the build that names the file, with what their writer meant.

    Scenario Outline: a report that covers <covered>, <variant>, is read as its sender meant it
        Given the messages recorded from build "a907061"
        When the "<covered>" report is read <variant>
        Then each field that the sender knew has the value that it sent

        Examples:
            | covered | variant                                   |
            | node    | as recorded                               |
            | leaving | as recorded                               |
            | domain  | as recorded                               |
            | fleet   | as recorded                               |
            | node    | with fields that this build does not know |
            | leaving | with fields that this build does not know |
            | domain  | with fields that this build does not know |
            | fleet   | with fields that this build does not know |

    Scenario Outline: a node of this build counts the sender of a report <variant> as a peer
        Given the messages recorded from build "a907061"
        And a relay node of this build
        When the node receives the "node" report <variant>
        Then the node counts <peers> peers

        Examples:
            | variant                                   | peers |
            | as recorded                               | 1     |
            | with fields that this build does not know | 1     |
            | with a scope that this build does not know | 0     |

    Scenario Outline: a <exchange> exchange ignores a report whose scope this build does not know
        Given the messages recorded from build "a907061"
        When a <exchange> exchange receives the "node" report with a scope that this build does not know
        Then it applies nothing

        Examples:
            | exchange |
            | mesh     |
            | tree     |

    Scenario Outline: a rollout follows the verdict of a report only if this build knows it
        Given the messages recorded from build "a907061"
        When the "node" report is read <variant>
        Then its verdict is <verdict>

        Examples:
            | variant                                      | verdict       |
            | as recorded                                  | "rolled_back" |
            | with a verdict that this build does not know | "none"        |

    @loopback
    Scenario Outline: a <call> call that a node of another build hands over, <variant>, is served as it was admitted
        Given the messages recorded from build "a907061"
        And a relay node of this build
        When the node receives the "<call>" call <variant>
        Then the sender gets the complete answer of a server
        And the server got the call once, as it was admitted

        Examples:
            | call    | variant                                   |
            | unsafe  | as recorded                               |
            | safe    | as recorded                               |
            | public  | as recorded                               |
            | stream  | as recorded                               |
            | resumed | as recorded                               |
            | unsafe  | with fields that this build does not know |
            | resumed | with fields that this build does not know |

    @loopback
    Scenario Outline: the answer "<answer>" of a node of another build, <variant>, gives the caller <status>
        Given the messages recorded from build "a907061"
        And a relay node of this build whose only peer gives the answer "<answer>" <variant>
        When a "<kind>" call is sent to the node
        Then the caller gets <status> with <content>

        Examples:
            | answer     | variant      | kind   | status | content              |
            | handedBack | as recorded  | unsafe | 503    | a time to return     |
            | leaving    | as recorded  | unsafe | 503    | a time to return     |
            | unreadable | as recorded  | unsafe | 503    | a time to return     |
            | stranger   | as recorded  | unsafe | 503    | a time to return     |
            | refused    | as recorded  | unsafe | 503    | a time to return     |
            | mayHaveRun | as recorded  | unsafe | 502    | no seal              |
            | timedOut   | as recorded  | unsafe | 504    | no seal              |
            | complete   | as recorded  | unsafe | 200    | the server's answer  |
            | failed     | as recorded  | unsafe | 500    | the server's failure |
            | stream     | as recorded  | stream | 200    | the server's events  |
            | handedBack | with headers | unsafe | 503    | a time to return     |
            | refused    | with headers | unsafe | 503    | a time to return     |
            | mayHaveRun | with headers | unsafe | 502    | no seal              |
            | complete   | with headers | unsafe | 200    | the server's answer  |
            | stream     | with headers | stream | 200    | the server's events  |

    Scenario Outline: records in the log, <variant>, are read as their writer meant them
        Given the messages recorded from build "a907061"
        When the records of the log are read <variant>
        Then the node of the record is known with its address, failure domain and processor capacity
        And the rollout continues from the recorded start with the state "<state>"

        Examples:
            | variant                                  | state       |
            | as recorded                              | rolled_back |
            | with keys that this build does not know  | rolled_back |
            | with a state that this build does not know | running   |
