@loopback
Feature: Calls in front of a head that does not come to its end
    A head that does not come in time is refused with 408, a promise that its call has not run. Callers must not get this promise as the
    answer to the call in front of it, which may be at a server.

    # Guards against a 408 in place of the answer to a call that a server runs.
    Scenario Outline: a "<kind>" call <form> is not answered with the refusal of <bytes> behind it in a node that <event>
        Given a relay program with a header limit of <limit> ms before a server that takes <work> ms
        When a "<kind>" call <form> and <bytes> are written to the program, which <event>
        Then the call gets the answer of the server, which received it once, and the bytes behind it get 408

        Examples:
            | kind   | form                     | bytes            | limit | work | event                          |
            | unsafe | with a length            | a part of a head | 500   | 1500 | is not held up                 |
            | unsafe | with a length            | a single byte    | 500   | 1500 | is not held up                 |
            | unsafe | in chunks with a trailer | a part of a head | 500   | 1500 | is not held up                 |
            | stream | with a length            | a part of a head | 500   | 1500 | is not held up                 |
            | stream | in chunks                | a part of a head | 500   | 1500 | is not held up                 |
            | unsafe | with a length            | a part of a head | 500   | 600  | is held up for 1500 ms         |
            | stream | in chunks                | a part of a head | 500   | 600  | is held up for 1500 ms         |
            | unsafe | with a length            | a part of a head | 500   | 600  | stands still for 1500 ms       |
            | stream | in chunks                | a part of a head | 500   | 600  | stands still for 1500 ms       |
            | unsafe | in chunks                | a part of a head | 5000  | 1500 | gets a header limit of 300 ms  |
            | stream | with a length            | a part of a head | 5000  | 1500 | gets a header limit of 300 ms  |
