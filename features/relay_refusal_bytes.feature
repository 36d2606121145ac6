@loopback
Feature: Statements of backend servers that a call has not run
    A call that may run once at most is refused or sent to another server on the word of a server. Its word is a header of the first final
    head that names the call and no other one; what a faulty server sends beside it says nothing.

    # Guards against a promise that a call has not run although no server has said so.
    Scenario Outline: <status> <form> is no statement
        Given a relay whose server answers <status> <form>
        When the call that it gets may run once at most
        Then the caller is not told that the call has not run

        Examples:
            | status | form                                                      |
            | 503    | without a statement                                       |
            | 429    | without a statement                                       |
            | 408    | without a statement                                       |
            | 500    | without a statement                                       |
            | 200    | with a statement                                          |
            | 302    | with a statement                                          |
            | 500    | with a statement                                          |
            | 502    | with a statement                                          |
            | 504    | with a statement                                          |
            | 503    | with the statement in a trailer                           |
            | 503    | with the statement in an interim head                     |
            | 200    | with the statement in an interim head                     |
            | 503    | with the statement in the value of another header         |
            | 503    | with the statement folded into another header             |
            | 503    | with the statement in its body                            |
            | 503    | with a statement whose name ends with a space             |
            | 503    | with a statement that is cut within its head              |
            | 503    | with a statement that is cut before the end of its head   |
            | 503    | with a statement that is reset before the end of its head |
            | 503    | with a statement and no id                                |
            | 503    | with a statement and the id of another call               |
            | 503    | with a statement, the call's id and that of another call  |
            | 503    | with a statement, the id of another call and the call's   |
            | 503    | with a statement and both ids in one header               |
            | 503    | with a statement for another call, and the sealed answer  |
            | 503    | with a statement, cut before any id, and the sealed answer |
            | 421    | with a reason that is cut, and the sealed answer          |
            | 421    | without a statement and without an id                     |
            | 421    | without a statement, the id of another call and the call's |

    Scenario Outline: <status> <form> is a statement
        Given a relay whose server answers <status> <form>
        When the call that it gets may run once at most
        Then the caller is told that the call has not run

        Examples:
            | status | form                                                       |
            | 503    | with a statement                                           |
            | 429    | with a statement                                           |
            | 421    | with a statement                                           |
            | 400    | with a statement                                           |
            | 421    | without a statement                                        |
            | 503    | with a statement that is sent twice in its head            |
            | 503    | with a statement and the call's id twice                   |
            | 503    | with a statement that its connection header lists          |
            | 503    | with a statement whose body is cut                         |
            | 503    | with a statement after an interim head                     |
            | 503    | with a statement, and then the sealed answer of the call   |

    # What follows a complete answer belongs to no call.
    Scenario: a statement behind the sealed answer of its call is ignored
        Given a relay whose server answers 503 with a statement behind the sealed answer of the call
        When the call that it gets may run once at most
        Then the caller gets the sealed answer

    # Guards against the head of an extra answer whose rest is missing, so that the head of the next answer is read as a part of it.
    Scenario Outline: <extra> that is cut anywhere, with <answer> right behind it, is not taken for another answer
        Given a server that sends <extra> before <answer>, cut at each of its bytes
        When each of these answers is read
        Then each of them fails or is <answer>

        Examples:
            | extra                            | answer                   |
            | the refusal of another call      | the sealed answer        |
            | the refusal of another call      | a sealed failure         |
            | a refusal that names its call last | the sealed answer      |
            | a 421 to another call            | the sealed answer        |
            | a 421 to another call            | a sealed failure         |
            | a sealed answer to another call  | a sealed failure         |
            | a sealed answer to another call  | a refusal                |
