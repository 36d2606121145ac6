Feature: Serving of calls
    Each caller gets the complete answer to its own call, or an error that tells truthfully whether the call may have run.

    Background:
        Given the "rastro-sul" fleet

    Scenario Outline: every operation is answered completely
        When a "<operation>" call is sent, <mode>
        Then the caller gets the complete answer to this call

        Examples:
            | operation          | mode     |
            | dossier-summary    | buffered |
            | dossier-summary    | streamed |
            | payroll-extraction | buffered |
            | eligibility-flag   | streamed |

    Scenario Outline: an interrupted stream continues at another backend server
        Given all backend servers of "language-model" but one break their streams after <tokens> tokens
        When a "dossier-summary" call is sent, <mode>
        Then the caller gets the complete answer to this call

        Examples:
            | tokens | mode     |
            | 0      | streamed |
            | 3      | streamed |
            | 3      | buffered |

    Scenario Outline: an answer that cannot be completed never looks complete
        Given all backend servers of "language-model" break their streams after <tokens> tokens
        When a "dossier-summary" call is sent, <mode>
        Then the caller gets <outcome>

        Examples:
            | tokens | mode     | outcome                                          |
            | 0      | streamed | refusal 502 "backend-failed", executed "unknown" |
            | 3      | streamed | an aborted stream without its terminal marker    |
            | 0      | buffered | refusal 502 "backend-failed", executed "unknown" |

    Scenario: a mismatched answer reaches no caller
        Given all backend servers of "language-model" answer with another request's id
        When a "dossier-summary" call is sent, buffered
        Then the caller gets refusal 502 "backend-failed", executed "unknown"
        And the timeline has an event "crossed" of the call

    Scenario Outline: a refusal tells whether the call may have run
        Given a backend server that <fault>
        When a "<semantics>" call is sent to a plain service
        Then the caller gets refusal <status> "<type>", executed "<executed>"
        And the plain services took <effects> effects

        Examples:
            | fault                      | semantics    | status | type            | executed | effects |
            | refuses the connection     | runOnce      | 502    | backend-failed  | no       | 0       |
            | refuses the connection     | dispatchOnce | 502    | backend-failed  | no       | 0       |
            | breaks after the effect    | runOnce      | 502    | backend-failed  | unknown  | 1       |
            | breaks after the effect    | dispatchOnce | 502    | backend-failed  | unknown  | 0       |
            | answers another request    | runOnce      | 502    | backend-failed  | unknown  | 1       |
            | answers after the deadline | runOnce      | 504    | deadline-passed | unknown  | 1       |
            | answers after the deadline | dispatchOnce | 504    | deadline-passed | unknown  | 0       |

    Scenario Outline: an idempotency key identifies one call
        Given a "claim-filing" call with key "k1" and body "<first>" was answered
        When a "claim-filing" call with key "k1" and body "<second>" is sent
        Then the caller gets <outcome>
        And the plain services took 1 effects

        Examples:
            | first | second | outcome                                   |
            | {}    | {}     | the same answer as before                 |
            | {}    | [1]    | refusal 422 "key-conflict", executed "no" |

    Scenario Outline: an invalid call is refused and its invalid field is named
        When a call is sent with <change>
        Then the caller gets refusal <status> "<type>", executed "no"
        And the refusal names the field "<field>"

        Examples:
            | change                                     | status | type              | field                 |
            | no workspace key                           | 401    | unknown-workspace | authorization         |
            | workspace key "nobody"                     | 401    | unknown-workspace | authorization         |
            | no operation                               | 400    | invalid-request   | foxtailrail-operation |
            | operation "nothing"                        | 404    | unknown-operation | foxtailrail-operation |
            | operation "claim-filing"                   | 404    | unknown-operation | foxtailrail-operation |
            | body "{"                                   | 400    | invalid-request   | body                  |
            | body "{}"                                  | 400    | invalid-request   | model                 |
            | body "{\"model\":\"m\",\"messages\":[]}"   | 400    | invalid-request   | messages              |
            | path "/v1/nothing"                         | 404    | unknown-operation | path                  |
            | path "/v1/services/case-management/other"  | 404    | unknown-operation | path                  |
            | path "/v1/services/case-management/claims" | 400    | invalid-request   | idempotency-key       |
            | an idempotency key of 256 characters       | 400    | invalid-request   | idempotency-key       |
