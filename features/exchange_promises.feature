@loopback
Feature: Requests that an exchange promises not to have sent
    An exchange that fails before its request is written says so, and calls that may run once at most are sent again or refused on its word.

    # Guards against a request that is written although its exchange has failed as not sent, and against one that is written twice.
    Scenario: the server gets no byte of a request that failed as not sent, and none twice
        When a request meets each of these cases, and 2 s pass
            | case                                                                                | outcome  |
            | its signal is aborted before it is sent                                             | unsent   |
            | it is cancelled in the turn in which its connection begins to open                  | unsent   |
            | it is cancelled right after its connection has opened, before the write             | unsent   |
            | it is cancelled when it may be written                                              | unsent   |
            | its signal is aborted when it may be written                                        | unsent   |
            | it may not be written on a new connection                                           | unsent   |
            | it may not be written on an idle connection                                         | unsent   |
            | it may not be written, and another one waits for the same connection                | unsent   |
            | it is cancelled while it waits behind another one on the only connection            | unsent   |
            | it is cancelled while it waits, and the one before it is cancelled as well          | unsent   |
            | it may not be written any more when its turn comes                                  | unsent   |
            | it is cancelled while all 256 connections of the client are in use                  | unsent   |
            | it is aborted in the turn in which it is sent on an idle connection                 | unsent   |
            | it is cancelled in a microtask while its idle connection is validated               | unsent   |
            | it is cancelled while its idle connection is validated and gets bytes               | unsent   |
            | its connection takes longer to open than the limit                                  | any      |
            | its idle connection is closed by the server around the write                        | any      |
            | its idle connection is reset by the server around the write                         | any      |
            | its connection is closed with the answer before it                                  | answered |
            | the time that the server keeps its idle connection is over around the write         | answered |
            | an extra answer comes while its connection is idle                                  | any      |
            | an extra answer comes with the answer before it                                     | any      |
            | half of an extra answer comes with the answer before it, and half after the write   | any      |
            | an extra answer comes right after the write                                         | any      |
            | the one before it on the only connection is reset                                   | answered |
            | the one before it is reset, and it is cancelled at once                             | unsent   |
            | the one before it is cancelled with a body that is partly in the socket             | answered |
            | it is cancelled while a part of its body is in the socket                           | sent     |
            | its pool is renewed while it runs                                                   | answered |
            | its pool is renewed while it waits                                                  | answered |
            | its pool is renewed while it waits, and it is cancelled                             | unsent   |
            | its pool is renewed while its connection opens, and it is cancelled                 | unsent   |
            | the client drops its address while all connections are in use                       | answered |
            | the client closes while it waits                                                    | unsent   |
            | the client closes while it runs                                                     | sent     |
            | the client closes while its connection opens                                        | unsent   |
            | the client closes with a body that is partly in the socket                          | sent     |
            | the one before it is refused before its body is in, and the server reads on         | answered |
            | the one before it is refused before its body is in, and the connection is closed    | any      |
            | the one before it is refused before its body is in, and it is cancelled             | unsent   |
        Then no request that failed as not sent has reached the server, and none was written twice

    Scenario: random sequences of such events
        When 40 random sequences of such events are played with seed 1, and 2 s pass
        Then no request that failed as not sent has reached the server, and none was written twice
