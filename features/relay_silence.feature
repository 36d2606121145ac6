Feature: Calls at servers that are silent for a time
    All servers of a service that a node reaches fall silent at once, for 0.6 s, 1.2 s or 2 s, and go on. There are 1 to 3 of them, and each
    has one call under way.

    Scenario Outline: a call that may not be repeated runs once, and is answered by its server although that was silent
        Given a node whose servers fall silent while a "<kind>" call is under way at each
        When they go on after 0.6 s, 1.2 s or 2 s, and a peer <behavior>
        Then each caller gets the whole answer, each event once
        And no call runs more than once

        Examples:
            | kind              | behavior                          |
            | unsafe            | takes calls                       |
            | unsafe            | declines calls                    |
            | unsafe            | refuses calls                     |
            | stream            | takes calls                       |
            | stream            | declines calls                    |
            | begun stream      | takes calls                       |
            | begun stream      | refuses calls                     |

    Scenario Outline: a call that may be repeated is served by its server that was silent or by a peer, whatever the peer does
        Given a node whose servers fall silent while a "<kind>" call is under way at each
        When they go on after 0.6 s, 1.2 s or 2 s, and a peer <behavior>
        Then each caller gets the whole answer, each event once
        And no call runs more than twice, nor at two servers once one has begun to answer

        Examples:
            | kind                   | behavior                          |
            | safe                   | is there                          |
            | safe                   | takes calls                       |
            | safe                   | declines calls                    |
            | safe                   | refuses calls                     |
            | safe                   | has silent servers as well        |
            | safe                   | answers late                      |
            | safe                   | breaks off within the first event |
            | safe                   | breaks off before its answer      |
            | safe                   | passes an error of its server on  |
            | resumable stream       | is there                          |
            | resumable stream       | takes calls                       |
            | resumable stream       | declines calls                    |
            | resumable stream       | refuses calls                     |
            | resumable stream       | has silent servers as well        |
            | resumable stream       | answers late                      |
            | resumable stream       | breaks off within the first event |
            | resumable stream       | breaks off before its answer      |
            | resumable stream       | passes an error of its server on  |
            | begun resumable stream | is there                          |
            | begun resumable stream | takes calls                       |
            | begun resumable stream | declines calls                    |
            | begun resumable stream | refuses calls                     |
            | begun resumable stream | has silent servers as well        |
            | begun resumable stream | answers late                      |
            | begun resumable stream | breaks off within the first event |
            | begun resumable stream | breaks off before its answer      |
            | begun resumable stream | passes an error of its server on  |

    Scenario Outline: a begun stream whose server is silent goes on there once if <limit>
        Given a node whose servers fall silent while a "begun resumable stream" call is under way at each
        When they go on after 0.6 s, 1.2 s or 2 s, a peer takes calls, and <limit>
        Then each caller gets the whole answer, each event once
        And no call runs more than once

        Examples:
            | limit                            |
            | the retry budget is used up      |
            | the route allows one attempt     |

    Scenario Outline: a <kind> call whose server is silent for as long as its caller waits is answered by a peer within 2 s
        Given a node whose servers fall silent while a "<kind>" call is under way at each
        When they are silent until the deadline, and a peer <behavior>
        Then each caller gets the whole answer, each event once
        And each caller has its answer within 2000 ms
        And no call runs more than twice, nor at two servers once one has begun to answer

        Examples:
            | kind                   | behavior                    |
            | safe                   | takes calls                 |
            | resumable stream       | takes calls                 |
            | begun resumable stream | takes calls                 |

    Scenario Outline: a <kind> call whose server breaks off after a silence ends <end> if a peer <behavior>
        Given a node whose servers fall silent while a "<kind>" call is under way at each
        When they break off after 1.2 s, and a peer <behavior>
        Then each call ends <end>, and no later than its deadline

        Examples:
            | kind                   | behavior                          | end            |
            | safe                   | takes calls                       | complete       |
            | safe                   | answers late                      | complete       |
            | safe                   | declines calls                    | with 502       |
            | safe                   | breaks off before its answer      | with 502       |
            | safe                   | passes an error of its server on  | with 500       |
            | begun resumable stream | takes calls                       | complete       |
            | begun resumable stream | answers late                      | complete       |
            | begun resumable stream | declines calls                    | broken off     |
            | begun resumable stream | breaks off before its answer      | broken off     |
            | begun resumable stream | passes an error of its server on  | broken off     |
            | begun stream           | takes calls                       | broken off     |
            | unsafe                 | takes calls                       | with 502       |

    Scenario Outline: a <kind> call whose server is silent ends at its deadline, at the server and at a peer that <behavior>
        Given a node whose servers fall silent while a "<kind>" call is under way at each
        When they are silent until the deadline, and a peer <behavior>
        Then each call ends <end>, and no later than its deadline
        And no server works on a call after its deadline

        Examples:
            | kind                   | behavior                   | end        |
            | unsafe                 | is there                   | with 504   |
            | safe                   | declines calls             | with 504   |
            | safe                   | has silent servers as well | with 504   |
            | begun stream           | takes calls                | broken off |
            | begun resumable stream | is there                   | broken off |
            | begun resumable stream | refuses calls              | broken off |
            | begun resumable stream | has silent servers as well | broken off |

    Scenario Outline: the server and the peer of a <kind> call end their work when its caller leaves <ms> ms after the call
        Given a node whose servers fall silent while a "<kind>" call is under way at each
        When they are silent until the deadline, a peer <behavior>, and the callers leave after <ms> ms
        Then no server works on a call after its caller has left

        Examples:
            | kind                   | behavior     | ms    |
            | safe                   | answers late | 1200  |
            | begun resumable stream | answers late | 1200  |
            | begun resumable stream | takes calls  | 1200  |
            | begun resumable stream | takes calls  | 500   |

    Scenario Outline: a <kind> call beside whose attempt by way of a peer the node fails inside is not said to have not run, nor left at it
        Given a node whose servers fall silent while a "<kind>" call is under way at each
        When they <go on> after 1.2 s or 2 s, a peer <behavior>, and the node fails inside as the attempt at the server ends
        Then each call ends with 502, and no later than its deadline
        And a peer has begun to run each call, and no server works on a call after it has ended

        Examples:
            | kind             | behavior                   | go on             |
            | safe             | answers late               | refuse their call |
            | resumable stream | answers late               | refuse their call |
            | safe             | has silent servers as well | refuse their call |
            | resumable stream | takes calls                | go on             |
            | safe             | takes calls                | go on             |

    Scenario Outline: a <kind> with an event each <event> ms ends <end> after <after> ms, with a timeout of <timeout> ms
        Given a node whose servers fall silent while a "<kind>" call is under way at each
        When they send an event each <event> ms instead, on a route with a timeout of <timeout> ms, and a peer <behavior>
        Then each call ends <end>, and no later than its deadline
        And each call has ended after <after> ms

        Examples:
            | kind             | event | timeout | behavior       | end        | after |
            | stream           | 100   | 5000    | is there       | complete   | 600   |
            | stream           | 800   | 5000    | is there       | complete   | 4800  |
            | stream           | 800   | 5000    | takes calls    | complete   | 4800  |
            | resumable stream | 800   | 5000    | is there       | complete   | 4800  |
            | resumable stream | 800   | 5000    | declines calls | complete   | 4800  |
            | stream           | 800   | 3000    | takes calls    | broken off | 3000  |
            | resumable stream | 800   | 3000    | declines calls | broken off | 3000  |
            | stream           | 2500  | 9000    | is there       | broken off | 5000  |
            | stream           | 60000 | 3000    | is there       | with 504   | 3000  |
            | resumable stream | 60000 | 9000    | declines calls | with 504   | 5000  |
