Feature: Run-once calls
    A filing takes effect at most once over all nodes, and a caller who asks again at any node gets the truth.

    Background:
        Given the "rastro-sul" fleet

    Scenario Outline: a fault at each step of a claim's life, at a node that appends by itself
        Given node 1 appends its claims by itself
        And <fault> when a filing is at "<step>"
        When the filing is sent to node 1
        And the fault has passed and the caller asks again at node 3 until the outcome is final
        Then the filing took effect <effects> times and the last answer is "<end>"
        And no answer about the filing was false

        Examples: the node dies
            | fault         | step               | effects | end     |
            | the node dies | before append      | 1       | done    |
            | the node dies | append landed      | 0       | unknown |
            | the node dies | after claim        | 0       | unknown |
            | the node dies | after dispatch     | 1       | unknown |
            | the node dies | after answer       | 1       | unknown |
            | the node dies | after outcome      | 1       | done    |

        Examples: the node pauses for long
            | fault           | step               | effects | end     |
            | the node pauses | before append      | 1       | done    |
            | the node pauses | append landed      | 1       | done    |
            | the node pauses | after claim        | 1       | unknown |
            | the node pauses | after dispatch     | 1       | done    |
            | the node pauses | after answer       | 1       | done    |
            | the node pauses | after outcome      | 1       | done    |

        Examples: the log is down
            | fault            | step               | effects | end  |
            | the log is down  | before append      | 1       | done |
            | the log is down  | append landed      | 1       | done |
            | the log is down  | after claim        | 1       | done |
            | the log is down  | after dispatch     | 1       | done |
            | the log is down  | after answer       | 1       | done |
            | the log is down  | after outcome      | 1       | done |

        Examples: the log is slow
            | fault            | step               | effects | end  |
            | the log is slow  | before append      | 1       | done |
            | the log is slow  | append landed      | 1       | done |
            | the log is slow  | after claim        | 1       | done |
            | the log is slow  | after dispatch     | 1       | done |
            | the log is slow  | after answer       | 1       | done |
            | the log is slow  | after outcome      | 1       | done |

        Examples: the node is cut off from the log and the other nodes
            | fault               | step               | effects | end  |
            | the node is cut off | before append      | 1       | done |
            | the node is cut off | append landed      | 1       | done |
            | the node is cut off | after claim        | 1       | done |
            | the node is cut off | after dispatch     | 1       | done |
            | the node is cut off | after answer       | 1       | done |
            | the node is cut off | after outcome      | 1       | done |

        Examples: the caller asks at another node at the same time
            | fault                            | step               | effects | end  |
            | the caller asks again at node 2  | before append      | 1       | done |
            | the caller asks again at node 2  | append landed      | 1       | done |
            | the caller asks again at node 2  | after claim        | 1       | done |
            | the caller asks again at node 2  | after dispatch     | 1       | done |
            | the caller asks again at node 2  | after answer       | 1       | done |
            | the caller asks again at node 2  | after outcome      | 1       | done |

        Examples: the answers of appends are lost
            | fault                           | step               | effects | end  |
            | the answers of appends are lost | before append      | 1       | done |
            | the answers of appends are lost | after claim        | 1       | done |

    Scenario Outline: a fault at the combiner of another node's claim
        Given node 1 has its claims appended by node 2
        And <fault> when a filing is at "<step>"
        When the filing is sent to node 1
        And the fault has passed and the caller asks again at node 3 until the outcome is final
        Then the filing took effect 1 times and the last answer is "done"
        And no answer about the filing was false

        Examples:
            | fault                            | step          |
            | the node dies                    | before append |
            | the node dies                    | append landed |
            | the node dies                    | after outcome |
            | the node pauses                  | before append |
            | the node pauses                  | append landed |
            | the node pauses                  | after outcome |
            | the node is cut off              | before append |
            | the node is cut off              | append landed |
            | the log is down                  | before append |
            | the log is down                  | append landed |
            | the log is slow                  | before append |
            | the log is slow                  | append landed |
            | the answers of appends are lost  | before append |
            | the caller asks again at node 2  | append landed |
