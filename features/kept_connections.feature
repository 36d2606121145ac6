@loopback
Feature: Ids of calls on kept connections
    A receiver may send an answer once more in front of the next one on its connection, so that no connection may carry an id again that was
    answered on it without a success.

    # Guards against a copy of an earlier answer that is taken for that to a later call with the same id.
    Scenario Outline: no kept connection carries an id again, <ids>
        Given a receiver that answers with status <status>
        When <calls> calls are sent one after the other, <ids>
        Then no connection has carried an id twice
        And at most <connections> connections were opened

        Examples:
            | status | calls | ids                                          | connections |
            | 503    | 60    | each id twice                                | 31          |
            | 421    | 60    | each id twice                                | 31          |
            | 500    | 60    | each id twice                                | 31          |
            | 200    | 60    | each id twice, and their answers are not used | 31         |
            | 503    | 1200  | 1200 ids in turn                                | 3           |
            | 503    | 1800  | 600 ids in turn                              | 1203        |

    Scenario: calls whose answers are used keep their connection
        Given a receiver that answers with status 200
        When 60 calls are sent one after the other, each id twice
        Then at most 1 connections were opened

    # Guards against a call that is written on the connection on which its id was answered while it waited.
    Scenario: a call is not written once its id was answered while it waited for a connection
        Given a receiver that answers with status 503
        When a call waits for the only connection, and one with its id is answered there
        Then it fails as not sent
        And no connection has carried an id twice
