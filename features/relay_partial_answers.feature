@loopback
Feature: Partial answers and invalid statuses on every path
    A part of an answer is none, and neither is an answer with a status outside 100 to 599.

    # Guards against a part of an answer that a caller takes for whole: its connection ended although the upload was not read.
    Scenario Outline: no "<kind>" call gets a part of the answer of a <receiver> as a whole one
        Given a relay whose <receiver> sends a part of an answer to an upload that it does not read, and ends the connection
        When a "<kind>" call with 3900000 bytes is sent
        Then its caller gets <outcome>, and the <receiver> has got it <times> times

        Examples:
            | receiver | kind             | outcome      | times |
            | server   | unsafe           | 502          | 1     |
            | server   | safe             | 502          | 2     |
            | server   | stream           | a cut stream | 1     |
            | server   | resumable stream | a cut stream | 2     |
            | peer     | unsafe           | 502          | 1     |
            | peer     | stream           | a cut stream | 1     |

    # Guards against a status that no caller knows, and against another answer on a connection whose receiver sends such ones.
    Scenario Outline: no "<kind>" call gets the status <status> of a <receiver>, whose connection is not used again
        Given a relay whose <receiver> answers each first call with status <status>
        When a "<kind>" call with 100 bytes is sent
        Then its caller gets <outcome>, and the <receiver> has got it <times> times
        And each call came on a connection of its own

        Examples:
            | status | receiver | kind             | outcome    | times |
            | 600    | server   | unsafe           | 502        | 1     |
            | 999    | server   | unsafe           | 502        | 1     |
            | 000    | server   | unsafe           | 502        | 1     |
            | 099    | server   | unsafe           | 502        | 1     |
            | 600    | server   | safe             | the answer | 2     |
            | 600    | server   | stream           | 502        | 1     |
            | 600    | server   | resumable stream | the answer | 2     |
            | 600    | peer     | unsafe           | 502        | 1     |
            | 999    | peer     | stream           | 502        | 1     |

    # Guards against clients with another way of reading answers.
    Scenario Outline: <client> takes no answer <fault>
        Given a server that sends an answer <fault>
        When <client> asks it twice
        Then both requests fail, each on a connection of its own

        Examples:
            | client                              | fault                                |
            | the client of engines               | with status 600                      |
            | the client of engines               | of which a part is missing           |
            | the client of plain services        | with status 600                      |
            | the client of plain services        | of which a part is missing           |
            | the client of the keyed log         | with status 600                      |
            | the client of the keyed log         | of which a part is missing           |
            | the client of the log service       | with status 600                      |
            | the client of the log service       | of which a part is missing           |
            | the reader of load reports          | with status 600                      |
            | the reader of engines' setups       | with status 600                      |
