Feature: Turns of paced connections
    Connections that bring many small pieces share a rate of 100 pieces a millisecond and take turns.

    # Guards against connections that wait for the turns of others that have gone.
    Scenario Outline: of three connections with 1000 pieces each, <gone>
        When three connections bring 1000 pieces each and <gone>
        Then they are read on after <first>, <second> and <third> ms

        Examples:
            | gone                 | first | second | third |
            | none has gone        | 10    | 20     | 30    |
            | the first has gone   | never | 10     | 20    |
            | the second has gone  | 10    | never  | 20    |

    # Guards against callers that have gone behind unread bytes, and keep their turns for hours.
    Scenario Outline: a body of at most 10000 bytes that brings 2000 pieces in each turn is <end>
        When a body of at most 10000 bytes brings 2000 pieces in each of <turns> turns, behind another that takes <wait> ms
        Then the connection of the body is <end>

        Examples:
            | turns | wait | end    |
            | 2     | 100  | open   |
            | 20    | 100  | open   |
            | 20    | 1000 | closed |
