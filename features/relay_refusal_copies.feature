@loopback
Feature: Copies of refusals
    A server or a peer refuses a call and sends the refusal once more before its next answer on the connection, where the id may be under
    way again.

    # Guards against a copy that is taken for the refusal of a later attempt: the call runs twice, or its caller is told that it has not run.
    Scenario Outline: no copy of a refusal counts as that of a later attempt with the same id
        Given a relay for "<kind>" calls with <receivers> that refuse each new id, and send the refusal once more before the answer
        When <calls>
        Then each id has run once at most, and no caller whose call has run is told that it has not
        And a receiver got ids again that it had refused, and the node counted them

        Examples:
            | kind   | receivers                | calls                                                        |
            | unsafe | three entries of a server | 8 times 3 calls are sent at once                            |
            | unsafe | a server                 | 6 calls are sent again with their id                         |
            | unsafe | two servers              | 6 calls are sent again with their id                         |
            | unsafe | a server                 | 6 calls are sent again with their id after its entry was replaced |
            | unsafe | a peer                   | 6 calls are sent again with their id                         |
            | stream | three entries of a server | 8 times 3 calls are sent at once                            |
            | stream | a server                 | 6 calls are sent again with their id                         |
            | stream | two servers              | 6 calls are sent again with their id                         |
            | stream | a peer                   | 6 calls are sent again with their id                         |

    # Guards against answers that are all taken for those to the calls before them, once a connection has carried one answer too many.
    Scenario Outline: one answer too many costs no more than the call that it meets
        Given a relay for "<kind>" calls with <receivers> that send their first refusal once more, 100 ms before the answer to the next call
        When 8 calls are sent one after the other
        Then all but two of them get their own answer

        Examples:
            | kind   | receivers |
            | unsafe | a server  |
            | stream | a server  |

    # Guards against a copy of the beginning of a stream that is taken for its rest.
    Scenario: a stream is resumed although its beginning is sent once more
        Given a relay for "resumable stream" calls with three entries of a server that end each new stream within an event, and send it once more
        When 8 times 3 calls are sent at once
        Then each caller gets its whole stream
