@loopback
Feature: Connections of callers to an entry VM
    Each call that was read is answered, and no answer stands in for that of another call.

    Scenario Outline: a caller gets a truthful refusal when <part> of the node fails
        Given an HTTP server in which <part> fails
        When a connection sends "<path>"
        Then the connection gets status 502 with executed "<executed>"
        And the server buffers no body of the connection
        And a further call gets its answer

        Examples:
            | part                | path         | executed |
            | the handler         | POST /fails  | unknown  |
            | the operations page | GET /metrics | no       |

    Scenario Outline: a malformed message does not stand in for the answer of <calls> earlier calls on its connection
        Given an HTTP server whose calls take 100 ms
        When a connection sends <calls> calls and a malformed message at once
        Then the connection gets the answers of <calls> calls in order, then status 400, and is closed

        Examples:
            | calls |
            | 1     |
            | 3     |

    Scenario Outline: a call that asks for a tunnel does not cut <calls> earlier calls on its connection
        Given an HTTP server whose calls take 100 ms
        When a connection sends <calls> calls and a call that asks for a tunnel at once
        Then the connection gets the answers of <calls> calls in order, then status 400, and is closed

        Examples:
            | calls |
            | 0     |
            | 1     |
            | 3     |

    Scenario Outline: each of <calls> calls that were read from one connection is answered when the server stops accepting
        Given an HTTP server whose calls take 100 ms
        When a connection sends <calls> calls at once, and the server stops accepting
        Then the connection gets the answers of <calls> calls in order, and is closed

        Examples:
            | calls |
            | 1     |
            | 2     |
            | 5     |

    Scenario Outline: an HTTP/1.0 answer of <node> that is broken off does not look complete
        Given <node> that breaks off an answer without a length
        When a connection sends a call of HTTP/1.0
        Then the connection is reset

        Examples:
            | node                                  |
            | an HTTP server of an entry VM         |
            | an HTTP server of a relay node        |

    Scenario Outline: <node> answers <expecting>, whose caller expects an interim head and sends the body <moment>, behind <first> with <answers>
        Given <node> whose calls are answered by their path
        When a connection sends the calls "<first>" and then "<expecting>" with an expectation, the last body <moment>
        Then the connection gets the answers <answers>, each with its own body, and <end>

        Examples: with nothing in front, the interim head is written unless the body is there
            | node              | first | expecting | moment                 | answers | end                        |
            | a relay node      | -     | /now      | with its head          | 200     | a further call is answered |
            | a relay node      | -     | /now      | after the interim head | 100 200 | a further call is answered |
            | a relay node      | -     | /now      | never                  | 100     | nothing more               |
            | a node for others | -     | /now      | with its head          | 200     | a further call is answered |
            | a node for others | -     | /now      | after the interim head | 100 200 | a further call is answered |
            | a node for others | -     | /now      | never                  | 100     | nothing more               |
            | an entry VM       | -     | /now      | with its head          | 200     | a further call is answered |
            | an entry VM       | -     | /now      | after the interim head | 100 200 | a further call is answered |
            | an entry VM       | -     | /now      | never                  | 100     | nothing more               |

        Examples: behind an answer that is still out, it is written once that one is whole
            | node              | first        | expecting  | moment                 | answers         | end                        |
            | a relay node      | /slow        | /now       | with its head          | 200 200         | a further call is answered |
            | a relay node      | /slow        | /now       | without waiting        | 200 200         | a further call is answered |
            | a relay node      | /slow        | /now       | in two parts           | 200 200         | a further call is answered |
            | a relay node      | /slow        | /now       | after the interim head | 200 100 200     | a further call is answered |
            | a relay node      | /slow        | /now       | never                  | 200 100         | nothing more               |
            | a relay node      | /slow        | /slow      | without waiting        | 200 200         | a further call is answered |
            | a relay node      | /slow        | /missing   | with its head          | 200 404         | a further call is answered |
            | a relay node      | /slow        | /missing   | after the interim head | 200 100 404     | a further call is answered |
            | a relay node      | /slow        | /busy      | without waiting        | 200 503         | a further call is answered |
            | a relay node      | /stream      | /now       | with its head          | 200 200         | a further call is answered |
            | a relay node      | /stream      | /missing   | after the interim head | 200 100 404     | a further call is answered |
            | a relay node      | /slow        | /stream    | with its head          | 200 200         | a further call is answered |
            | a relay node      | /slow, /slow | /now       | with its head          | 200 200 200     | a further call is answered |
            | a relay node      | /slow        | /now, /now | with its head          | 200 200 200     | a further call is answered |
            | a relay node      | /slow        | /now, /now | after the interim head | 200 200 100 200 | a further call is answered |
            | a node for others | /slow        | /now       | with its head          | 200 200         | a further call is answered |
            | a node for others | /slow        | /now       | without waiting        | 200 200         | a further call is answered |
            | a node for others | /slow        | /now       | after the interim head | 200 100 200     | a further call is answered |
            | a node for others | /slow        | /missing   | with its head          | 200 404         | a further call is answered |
            | a node for others | /stream      | /now       | with its head          | 200 200         | a further call is answered |
            | a node for others | /slow        | /now, /now | after the interim head | 200 200 100 200 | a further call is answered |
            | an entry VM       | /slow        | /now       | with its head          | 200 200         | a further call is answered |
            | an entry VM       | /slow        | /now       | without waiting        | 200 200         | a further call is answered |
            | an entry VM       | /slow        | /now       | in two parts           | 200 200         | a further call is answered |
            | an entry VM       | /slow        | /now       | after the interim head | 200 100 200     | a further call is answered |
            | an entry VM       | /slow        | /now       | never                  | 200 100         | nothing more               |
            | an entry VM       | /slow        | /missing   | with its head          | 200 404         | a further call is answered |
            | an entry VM       | /slow        | /busy      | without waiting        | 200 503         | a further call is answered |
            | an entry VM       | /stream      | /now       | with its head          | 200 200         | a further call is answered |
            | an entry VM       | /slow        | /stream    | with its head          | 200 200         | a further call is answered |
            | an entry VM       | /slow        | /now, /now | after the interim head | 200 200 100 200 | a further call is answered |

        Examples: a refused call closes the connection, after all calls behind it
            | node         | first           | expecting  | moment        | answers         | end                      |
            | a relay node | /slow, /invalid | /now, /now | with its head | 200 400 200 200 | the connection is closed |

        Examples: a body that cannot be read ends the connection; the interim head, if there is one, precedes the refusal
            | node         | first | expecting  | moment                 | answers     | end                      |
            | a relay node | /slow | /malformed | with its head          | 200 400     | the connection is closed |
            | a relay node | /slow | /malformed | without waiting        | 200 400     | the connection is closed |
            | a relay node | -     | /malformed | after the interim head | 100 400     | the connection is closed |
            | an entry VM  | /slow | /malformed | with its head          | 200 100 400 | the connection is closed |
            | an entry VM  | -     | /malformed | after the interim head | 100 400     | the connection is closed |

        Examples: an answer that does not wait for the body stands in for the interim head, and closes the connection
            | node        | first | expecting | moment | answers | end                      |
            | an entry VM | -     | /page     | never  | 200     | the connection is closed |
            | an entry VM | /slow | /page     | never  | 200 200 | the connection is closed |
            | an entry VM | /slow | /crowded  | never  | 200 400 | the connection is closed |

    Scenario Outline: <node> ignores an expectation of <call> behind <first>
        Given <node> whose calls are answered by their path
        When a connection sends the calls "<first>" and then "<call>" with its body
        Then the connection gets the answers <answers>, each with its own body, and a further call is answered

        Examples:
            | node              | first | call          | answers |
            | a relay node      | -     | HTTP/1.0 /now | 200     |
            | a relay node      | /slow | HTTP/1.0 /now | 200 200 |
            | a relay node      | -     | GET /now      | 200     |
            | a relay node      | /slow | GET /now      | 200 200 |
            | a relay node      | /slow | HEAD /now     | 200 200 |
            | a node for others | /slow | HTTP/1.0 /now | 200 200 |
            | an entry VM       | /slow | HTTP/1.0 /now | 200 200 |
            | an entry VM       | -     | GET /now      | 200     |
            | an entry VM       | /slow | GET /now      | 200 200 |
            | an entry VM       | /slow | GET /page     | 200 200 |
            | an entry VM       | /slow | HEAD /now     | 200 200 |

    Scenario Outline: <node> refuses an expectation that it does not know, behind <first>, with <answers>
        Given <node> whose calls are answered by their path
        When a connection sends the calls "<first>" and then "unknown /now" with its body
        Then the connection gets the answers <answers>, each with its own body, and a further call is answered

        Examples:
            | node              | first | answers |
            | a relay node      | -     | 417     |
            | a relay node      | /slow | 200 417 |
            | a node for others | /slow | 200 417 |
            | an entry VM       | -     | 417     |
            | an entry VM       | /slow | 200 417 |

    Scenario Outline: <node> that stops refuses a call that waits for its interim head behind <first> with <answers>
        Given <node> whose calls are answered by their path
        When a connection sends the calls "<first>" and then "/now" with an expectation, and the node stops
        Then the connection gets the answers <answers>, each with its own body, and the connection is closed

        Examples:
            | node              | first   | answers |
            | a relay node      | /slow   | 200 503 |
            | a node for others | /stream | 200 421 |
            | a node for others | -       | 100 421 |
            | a relay node      | /stream | 200 503 |
            | a relay node      | -       | 100 503 |

    Scenario: a call behind an answer that stands in for an interim head is not run, as the connection closes before its answer
        Given an entry VM whose calls are answered by their path
        When a connection sends the calls "/slow" and then "/crowded" with an expectation, and without waiting its body and "/now"
        Then the connection gets the answers 200 400, each with its own body, and the connection is closed
        And the calls that were handled are "/slow"

    # The HTTP library answered and closed by itself: the call behind had run and was cut.
    Scenario Outline: <node> refuses a call of HTTP/1.1 without a host, and answers the calls around it: <calls>
        Given <node> whose calls are answered by their path
        When a connection sends the calls "<calls>"
        Then the connection gets the answers <answers>, each with its own body, and <end>

        Examples:
            | node         | calls                         | answers         | end                        |
            | a relay node | /hostless                     | 400             | the connection is closed   |
            | a relay node | /hostless, /now               | 400 200         | the connection is closed   |
            | a relay node | /slow, /hostless, /slow, /now | 200 400 200 200 | the connection is closed   |
            | an entry VM  | /hostless                     | 400             | a further call is answered |
            | an entry VM  | /hostless, /now               | 400 200         | a further call is answered |
            | an entry VM  | /slow, /hostless, /slow, /now | 200 400 200 200 | a further call is answered |

    # The HTTP library drops what was read with the end of the call: a body behind it was taken for a call and run.
    Scenario Outline: <node> takes no call behind one that offers an upgrade: <calls>
        Given <node> whose calls are answered by their path
        When a connection sends the calls "<calls>" with the head of a call, and later its body, which holds a call
        Then the connection gets the answers <answers>, each with its own body, and the connection is closed
        And the calls that were handled are "<calls>"

        Examples:
            | node         | calls           | answers |
            | a relay node | /upgrade        | 200     |
            | a relay node | /slow, /upgrade | 200 200 |
            | an entry VM  | /upgrade        | 200     |
            | an entry VM  | /slow, /upgrade | 200 200 |
