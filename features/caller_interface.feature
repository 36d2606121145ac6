@loopback
Feature: HTTP interface for callers
    Invalid input is rejected with an error that names the field, and memory use stays bounded.

    Scenario Outline: an invalid call is rejected over a real connection
        Given an HTTP server with a limit of 1000 bytes for one body and 3000 bytes for all bodies
        When a connection sends <bytes>
        Then the connection gets status <status> with problem "<type>" and field "<field>"
        And no call reaches the handler
        And the server buffers no body

        Examples:
            | bytes                        | status | type            | field   |
            | a body of 1001 bytes         | 413    | body-too-large  | body    |
            | a chunked body of 1001 bytes | 413    | body-too-large  | body    |
            | 101 headers                  | 400    | invalid-request | headers |
            | a header of 40000 bytes      | 400    | invalid-request | headers |
            | "NOT HTTP"                   | 400    | invalid-request | request |
            | half a body and then nothing | 408    | body-too-slow   | body    |

    Scenario: the total size of the bodies of many callers is bounded
        Given an HTTP server with a limit of 1000 bytes for one body and 3000 bytes for all bodies
        When 4 connections each send 900 bytes of a body and wait
        Then one of the connections is refused as "overloaded" with a Retry-After header
        And the server buffers at most 3000 bytes of bodies

    Scenario: a caller that disconnects in the middle of a body leaves nothing buffered
        Given an HTTP server with a limit of 1000 bytes for one body and 3000 bytes for all bodies
        When a connection sends half a body and closes
        Then no call reaches the handler
        And the server buffers no body

    Scenario: a caller that does not read applies backpressure to the handler
        Given an HTTP server whose handler writes 64 chunks of 1000000 bytes
        When a connection sends a call and reads nothing
        Then the handler blocks with at most 4000000 bytes not yet accepted by the connection
        And the handler ends when the connection closes

    Scenario: an aborted answer never looks complete
        Given an HTTP server whose handler aborts after its first chunk
        When a connection sends a call and reads to the end
        Then the answer has its first chunk and no terminating chunk

    Scenario Outline: an adapter reports whether a failed request may have been executed
        Given a backend server over HTTP that <fault>
        When the adapter for "<kind>" sends a request
        Then the dispatch fails as "<fault kind>" with executed "<executed>"

        Examples:
            | kind    | fault                                 | fault kind  | executed |
            | engine  | refuses the connection                | refused     | no       |
            | engine  | closes after the request line         | broken      | unknown  |
            | engine  | answers with status 500               | serverError | unknown  |
            | engine  | answers with another id               | crossed     | unknown  |
            | engine  | drops the connection after two tokens | broken      | unknown  |
            | engine  | ends cleanly after two tokens         | broken      | unknown  |
            | engine  | sends an event that is not JSON       | broken      | unknown  |
            | engine  | never answers                         | cancelled   | unknown  |
            | service | refuses the connection                | refused     | no       |
            | service | closes after the request line         | broken      | unknown  |
            | service | answers with another id               | crossed     | unknown  |
            | service | drops the connection in the body      | broken      | unknown  |
            | service | never answers                         | cancelled   | unknown  |

    Scenario Outline: an engine's stream whose lines end with <ending> is read in chunks of <bytes> bytes
        Given a backend server over HTTP that streams two tokens with lines ending with <ending> in chunks of <bytes> bytes
        When the adapter for "engine" reads the stream to its end
        Then it gets 2 tokens and the end

        Examples:
            | ending | bytes |
            | LF     | 1     |
            | CRLF   | 1000  |
            | CRLF   | 1     |
            | CR     | 1000  |
            | CR     | 1     |

    Scenario: swapped answers of a backend server are never delivered to the wrong caller
        Given a backend server over HTTP that swaps the answers of every two requests
        When 20 requests are sent to it at the same time
        Then each request gets its own answer or fails as "crossed"
        And 20 requests failed as "crossed"
