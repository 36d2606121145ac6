Feature: Emptied failure domains
    What a node does with the operator's orders to send nothing more to a failure domain, without a network. Guards against orders that are
    never read, that a restart, a compaction or a restore of the log loses or revives, and against calls that find no way around them.

    Scenario Outline: a node that reads <records> has emptied <emptied>
        When a node reads <records>
        Then it has emptied <emptied>
        And it has logged <lines> orders, each with its offset, and <ignored> that it cannot read

        Examples:
            | records                                                    | emptied | lines | ignored |
            | an order for b                                             | b       | 1     | 0       |
            | orders for b and c                                         | b, c    | 2     | 0       |
            | an order for b and its end                                 | nothing | 2     | 0       |
            | an order for b, its end and another order                  | b       | 3     | 0       |
            | an order for b and its end at once                         | nothing | 2     | 0       |
            | the end of an order for b that was never given             | nothing | 1     | 0       |
            | an order for b and the same order again                    | b       | 2     | 0       |
            | a number as an order for b                                 | nothing | 0     | 1       |
            | a list as an order for b                                   | nothing | 0     | 1       |
            | an order for b, and then a number                          | b       | 1     | 1       |
            | an order for b, and then a number in a compacted log       | b       | 1     | 1       |
            | an order without a domain                                  | nothing | 0     | 1       |
            | an order for b before its start                            | b       | 1     | 0       |
            | an order for b and its end before its start                | nothing | 0     | 0       |
            | an order for b in a compacted log                          | b       | 1     | 0       |
            | an order for b, and its end in a compacted log             | nothing | 2     | 0       |
            | an order for b, and the log goes away                      | b       | 1     | 0       |
            | an order for b, and its end while the log is away          | b       | 1     | 0       |
            | an order for b, and its end before the log returns         | nothing | 2     | 0       |

    Scenario Outline: after a restore of the log, an order that <case> is <soon> after 1500 ms and <later> after 3500 ms
        When the log is restored after an order that <case>
        Then the domain is <soon> 1500 ms after the restore
        And the domain is <later> 3500 ms after the restore

        Examples:
            | case                                               | soon    | later   |
            | the copy lacks                                     | emptied | in use  |
            | the copy lacks and that is written again after 1 s | emptied | emptied |
            | the copy lacks and that ends after 1 s             | in use  | in use  |
            | the copy lacks, and the log goes away after 1 s    | emptied | emptied |
            | the copy contains                                  | emptied | emptied |
            | had ended and the copy contains                    | emptied | emptied |

    Scenario Outline: with <orders>, a call of the <version> version of a rollout that is <state> gets <servers>
        Given servers <fleet> and a rollout to version v2 that is <state>
        When there is <orders>
        Then a call of the <version> version gets <servers>

        Examples:
            | fleet            | state      | orders             | version | servers          |
            | v1 in a, v1 in b | running    | an order for c     | old     | the list itself  |
            | v1 in a, v1 in b | running    | an order for b     | old     | v1 in a          |
            | v1 in a, v2 in b | running    | an order for b     | new     | v1 in a          |
            | v1 in a, v2 in b | running    | an order for b     | old     | v1 in a          |
            | v1 in a, v2 in b | running    | an order for a     | old     | refused: emptied |
            | v1 in a, v2 in b | running    | an order for a     | new     | v2 in b          |
            | v1 in a, v2 in b | running    | orders for a and b | new     | refused: emptied |
            | v1 in a          | running    | an order for b     | new     | a wait           |
            | v1 in a, v2 in b | rolledBack | an order for a     | old     | refused: emptied |
            | v1 in a, v2 in b | completed  | an order for b     | new     | v1 in a          |
            | v1 in a, v2 in b | completed  | an order for a     | new     | v2 in b          |
            | none             | running    | an order for a     | old     | a wait           |
