@loopback
Feature: Answers of backend servers that end early
    A server's answer counts as complete only if the node has received all of it.

    Scenario Outline: an answer <framing> that ends at any of its bytes is complete only if nothing of it is missing
        Given a server that answers <framing> and ends the connection after a number of bytes
        When its answer is read once for each number of bytes and each end of the connection
        Then each answer that was cut failed, and each one that was not is complete

        Examples:
            | framing                                          |
            | with a length                                    |
            | with a length on a connection that closes        |
            | with a length over HTTP/1.0                      |
            | with a length over HTTP/1.0 that stays open      |
            | in chunks                                        |
            | in chunks on a connection that closes            |
            | in chunks with a trailer                         |
            | in chunks after an interim head                  |
            | without a length                                 |
            | without a length after an interim head           |
            | without a length over HTTP/1.0                   |
            | without a length on a connection that stays open |

    Scenario Outline: an answer that <fault> <outcome>
        Given a server whose answer <fault>
        When its answer is read
        Then the answer <outcome>

        Examples:
            | fault                                            | outcome     |
            | has more bytes than its length                   | is complete |
            | has two different lengths                        | fails       |
            | has the same length twice                        | fails       |
            | has a length and chunks                          | fails       |
            | has a negative length                            | fails       |
            | has a length that is not a number                | fails       |
            | has a length in hexadecimal                      | fails       |
            | has a folded header                              | fails       |
            | has lines that end with a line feed              | fails       |
            | has a space before a colon                       | fails       |
            | has a chunk size that is not a number            | fails       |
            | has a chunk longer than its size                 | fails       |
            | has no status code                               | fails       |
            | has the status 100 and nothing else              | fails       |
            | follows an interim head that closes the connection | fails     |
            | has the status 101                               | fails       |
            | has a transfer coding other than chunks          | fails       |
            | has a transfer coding after its chunks           | fails       |
            | has a transfer coding other than chunks and is reset | fails   |
            | has the status 000                               | fails       |
            | has the status 001                               | fails       |
            | has the status 099                               | fails       |
            | has the status 099 on a connection that closes   | fails       |
            | has the status 600                               | fails       |
            | has the status 600 and no length                 | fails       |
            | has the status 999                               | fails       |
            | has the status 1000                              | fails       |
            | has the status 20                                | fails       |
            | follows an interim head with the status 600      | fails       |
            | has the status 599                               | is complete |

    # Guards against a part of an answer that is taken for whole because its connection ended, although the request was not read.
    Scenario Outline: an answer <framing> to <bytes> bytes, sent <moment> they are read on a connection that is then <end>, <outcome>
        Given a server that answers an upload <framing>, <moment> it has read it, and whose connection is then <end>
        When its answer to an upload of <bytes> bytes is read
        Then the answer <outcome>

        Examples:
            | framing                                  | moment | bytes    | end                           | outcome     |
            | without a length                         | before | 16000000 | closed                        | fails       |
            | without a length                         | before | 16000000 | closed, and reset 20 ms later | fails       |
            | without a length                         | before | 3900000  | closed, and reset 20 ms later | fails       |
            | without a length                         | before | 900000   | closed, and reset 20 ms later | fails       |
            | without a length                         | before | 3900000  | reset                         | fails       |
            | without a length after an interim head   | before | 3900000  | closed, and reset 20 ms later | fails       |
            | without a length over HTTP/1.0           | before | 3900000  | closed, and reset 20 ms later | fails       |
            | without a length                         | after  | 3900000  | closed                        | is complete |
            | without a length                         | after  | 3900000  | closed later                  | is complete |
            | without a length after an interim head   | after  | 3900000  | closed                        | is complete |
            | with a length                            | before | 3900000  | left open                     | is complete |
            | with a length                            | before | 16000000 | closed                        | is complete |
            | with a length                            | before | 3900000  | closed, and reset 20 ms later | is complete |
            | with a length over HTTP/1.0              | before | 16000000 | closed                        | is complete |
            | in chunks                                | before | 16000000 | closed, and reset 20 ms later | is complete |
            | in chunks after an interim head          | before | 3900000  | left open                     | is complete |

    # Guards against a request on a connection whose end is kept from the HTTP library after an answer that has no body.
    Scenario: the end of a connection is known at once after an answer without a body
        Given a server that answers with status 204, and closes each connection soon afterwards
        When uploads of 20000 bytes are sent 50 ms apart
        Then each of them is answered

    Scenario Outline: the node goes on when a large answer <framing> is <end> while it is not read, and its reader then <action>
        Given a server that sends 1048576 bytes <framing>, and whose connection is then <end>
        When the reader of its answer waits for 200 ms and then <action>
        Then the answer that was read is <outcome>

        Examples:
            | framing                                   | end          | action      | outcome    |
            | without a length                          | closed       | reads it    | complete   |
            | without a length                          | closed later | reads it    | complete   |
            | without a length                          | reset        | reads it    | incomplete |
            | without a length                          | left open    | gives it up | incomplete |
            | without a length                          | closed       | gives it up | incomplete |
            | with a length                             | left open    | reads it    | complete   |
            | with a length                             | left open    | gives it up | incomplete |
            | with a length on a connection that closes | closed       | reads it    | complete   |
            | with a length on a connection that closes | reset        | gives it up | incomplete |
            | with a length on a connection that closes | left open    | gives it up | incomplete |
            | in chunks on a connection that closes     | closed       | reads it    | complete   |
            | in chunks on a connection that closes     | reset        | gives it up | incomplete |
            | in chunks on a connection that closes     | left open    | gives it up | incomplete |

    Scenario Outline: the node goes on when an answer <framing> that has begun is given up
        Given a server that sends a part of an answer <framing>
        When the reader of its answer waits for 20 ms and then gives it up
        Then the answer that was read is incomplete

        Examples:
            | framing                               |
            | without a length                      |
            | without a length over HTTP/1.0        |
            | with a length                         |
            | with a length over HTTP/1.0           |
            | in chunks                             |
            | in chunks on a connection that closes |
