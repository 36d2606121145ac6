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
