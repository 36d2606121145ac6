Feature: Callers over HTTP
    Bad input gets an error that names the field, and memory stays bounded.

    Scenario Outline: a bad call is refused over a real connection
        Given an HTTP server that takes bodies of 1000 bytes and holds 3000 bytes
        When a connection sends <bytes>
        Then the connection gets status <status> with problem "<type>" and field "<field>"
        And no call reaches the handler
        And the server holds no body

        Examples:
            | bytes                               | status | type            | field   |
            | a body of 1001 bytes                | 413    | body-too-large  | body    |
            | a chunked body of 1001 bytes        | 413    | body-too-large  | body    |
            | 101 headers                         | 400    | invalid-request | headers |
            | a header of 40000 bytes             | 400    | invalid-request | headers |
            | "NOT HTTP"                          | 400    | invalid-request | request |
            | half a body and then nothing        | 408    | body-too-slow   | body    |

    Scenario: bodies of many callers together stay bounded
        Given an HTTP server that takes bodies of 1000 bytes and holds 3000 bytes
        When 4 connections each send 900 bytes of a body and wait
        Then one of the connections is refused as "overloaded" with a time to come back
        And the server holds at most 3000 bytes

    Scenario: a caller that goes away in the middle of a body leaves nothing behind
        Given an HTTP server that takes bodies of 1000 bytes and holds 3000 bytes
        When a connection sends half a body and closes
        Then no call reaches the handler
        And the server holds no body

    Scenario: a caller that does not read stops the answer, not the memory
        Given an HTTP server whose handler writes 64 chunks of 1000000 bytes
        When a connection sends a call and reads nothing
        Then the handler waits with at most 4000000 bytes not yet taken by the connection
        And the handler ends when the connection closes

    Scenario: an answer that is broken off never looks whole
        Given an HTTP server whose handler breaks off after its first chunk
        When a connection sends a call and reads to the end
        Then the answer has its first chunk and no end

    Scenario Outline: an adapter tells how far a request got
        Given a backend server over HTTP that <fault>
        When the adapter for "<kind>" sends a request
        Then the dispatch fails as "<fault kind>" with executed "<executed>"

        Examples:
            | kind    | fault                            | fault kind  | executed |
            | engine  | refuses the connection           | refused     | no       |
            | engine  | closes after the request line    | broken      | unknown  |
            | engine  | answers with status 500          | serverError | unknown  |
            | engine  | answers with another id          | crossed     | unknown  |
            | engine  | breaks off after two tokens      | broken      | unknown  |
            | engine  | ends cleanly after two tokens    | broken      | unknown  |
            | engine  | sends an event that is not JSON  | broken      | unknown  |
            | engine  | never answers                    | cancelled   | unknown  |
            | service | refuses the connection           | refused     | no       |
            | service | closes after the request line    | broken      | unknown  |
            | service | answers with another id          | crossed     | unknown  |
            | service | breaks off in the body           | broken      | unknown  |
            | service | never answers                    | cancelled   | unknown  |

    Scenario: answers that cross on one backend server reach their own callers or nobody
        Given a backend server over HTTP that swaps the answers of every two requests
        When 20 requests are sent to it at the same time
        Then each request gets its own answer or fails as "crossed"
        And 20 requests failed as "crossed"
