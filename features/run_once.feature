Feature: Run-once calls
    A filing takes effect at most once over all nodes, and a caller who retries at any node gets a true answer.

    Background:
        Given the "rastro-sul" fleet

    Scenario Outline: a fault at each step of a claim, at a node that appends its own claims
        Given node 1 appends its own claims
        And <fault> when a filing is at "<step>"
        When the filing is sent to node 1
        And the fault ends and the caller retries at node 3 until the outcome is final
        Then the filing took effect <effects> times and the last answer is "<end>"
        And no answer about the filing was false

        Examples: the node crashes
            | fault            | step             | effects | end     |
            | the node crashes | before append    | 1       | done    |
            | the node crashes | append committed | 0       | unknown |
            | the node crashes | after claim      | 0       | unknown |
            | the node crashes | after dispatch   | 1       | unknown |
            | the node crashes | after answer     | 1       | unknown |
            | the node crashes | after outcome    | 1       | done    |

        Examples: the node pauses for a long time
            | fault           | step             | effects | end     |
            | the node pauses | before append    | 1       | done    |
            | the node pauses | append committed | 1       | done    |
            | the node pauses | after claim      | 1       | unknown |
            | the node pauses | after dispatch   | 1       | done    |
            | the node pauses | after answer     | 1       | done    |
            | the node pauses | after outcome    | 1       | done    |

        Examples: the log is down
            | fault           | step             | effects | end  |
            | the log is down | before append    | 1       | done |
            | the log is down | append committed | 1       | done |
            | the log is down | after claim      | 1       | done |
            | the log is down | after dispatch   | 1       | done |
            | the log is down | after answer     | 1       | done |
            | the log is down | after outcome    | 1       | done |

        Examples: the log is slow
            | fault           | step             | effects | end  |
            | the log is slow | before append    | 1       | done |
            | the log is slow | append committed | 1       | done |
            | the log is slow | after claim      | 1       | done |
            | the log is slow | after dispatch   | 1       | done |
            | the log is slow | after answer     | 1       | done |
            | the log is slow | after outcome    | 1       | done |

        Examples: the node is partitioned from the log and the other nodes
            | fault                   | step             | effects | end  |
            | the node is partitioned | before append    | 1       | done |
            | the node is partitioned | append committed | 1       | done |
            | the node is partitioned | after claim      | 1       | done |
            | the node is partitioned | after dispatch   | 1       | done |
            | the node is partitioned | after answer     | 1       | done |
            | the node is partitioned | after outcome    | 1       | done |

        Examples: the caller retries concurrently at another node
            | fault                        | step             | effects | end  |
            | the caller retries at node 2 | before append    | 1       | done |
            | the caller retries at node 2 | append committed | 1       | done |
            | the caller retries at node 2 | after claim      | 1       | done |
            | the caller retries at node 2 | after dispatch   | 1       | done |
            | the caller retries at node 2 | after answer     | 1       | done |
            | the caller retries at node 2 | after outcome    | 1       | done |

        Examples: the answers of appends are lost
            | fault                           | step          | effects | end  |
            | the answers of appends are lost | before append | 1       | done |
            | the answers of appends are lost | after claim   | 1       | done |

    Scenario Outline: a fault at the combiner of another node's claim
        Given node 1 has its claims appended by node 2
        And <fault> when a filing is at "<step>"
        When the filing is sent to node 1
        And the fault ends and the caller retries at node 3 until the outcome is final
        Then the filing took effect 1 times and the last answer is "done"
        And no answer about the filing was false

        Examples:
            | fault                           | step             |
            | the node crashes                | before append    |
            | the node crashes                | append committed |
            | the node crashes                | after outcome    |
            | the node pauses                 | before append    |
            | the node pauses                 | append committed |
            | the node pauses                 | after outcome    |
            | the node is partitioned         | before append    |
            | the node is partitioned         | append committed |
            | the log is down                 | before append    |
            | the log is down                 | append committed |
            | the log is slow                 | before append    |
            | the log is slow                 | append committed |
            | the answers of appends are lost | before append    |
            | the caller retries at node 2    | append committed |
