@loopback
Feature: Odd records and reports at a relay node
    Other writers may add any bytes to the topics and ports of a node. What cannot be used is ignored; calls and later records are not
    affected.

    Scenario Outline: an odd server entry costs no call and stops no node
        Given a relay with two servers, and one entry with <flaw> that is written <time>
        When 60 calls are sent, 20 at a time
        Then each of them gets the whole answer of a server
        And the node keeps no slot, and goes on with later records

        Examples:
            | flaw                              | time           |
            | port 99999                        | before a start |
            | port 99999                        | after a start  |
            | port 0                            | after a start  |
            | an octet of 999                   | before a start |
            | an octet of 999                   | after a start  |
            | an octet with a leading zero      | after a start  |
            | 1e308 slots                       | after a start  |
            | half a slot                       | after a start  |
            | 2^31 slots                        | after a start  |
            | sequence 1e308                    | after a start  |
            | sequence -1                       | after a start  |
            | sequence 1.5                      | after a start  |
            | a start time beyond 2^53          | after a start  |
            | a negative start time             | after a start  |
            | 1e308 ms of warm-up               | after a start  |
            | negative warm-up                  | after a start  |
            | a version of 200,000 characters   | after a start  |
            | a zone of 200,000 characters      | before a start |
            | a service of 200,000 characters   | after a start  |
            | a field nested 100,000 deep       | before a start |
            | a field nested 100,000 deep       | after a start  |
            | a zone nested 100,000 deep        | after a start  |
            | a value nested 100,000 deep       | before a start |
            | a value nested 100,000 deep       | after a start  |
            | bytes that are not UTF-8          | after a start  |
            | a prototype key                   | before a start |
            | a prototype key                   | after a start  |
            | an empty key                      | before a start |
            | an empty key                      | after a start  |
            | a key with a line break           | before a start |
            | a key with a line break           | after a start  |
            | a key beyond Latin-1              | after a start  |
            | a null value                      | after a start  |
            | a list as its value               | after a start  |
            | a number as its value             | after a start  |

    Scenario: a record that ends within its key removes no server
        Given a relay with two servers, and one entry with port 0 that is written after a start
        When a record that ends within its key names the first server
        And 60 calls are sent, 20 at a time
        Then each of them gets the whole answer of a server
        And each server has received calls since that record
        And the node keeps no slot, and goes on with later records

    Scenario Outline: an odd configuration leaves the one before in force and stops no node
        Given a relay with two servers, and one entry with port 0 that is written after a start
        When a configuration with <flaw> is written
        And 60 calls are sent, 20 at a time
        Then each of them gets the whole answer of a server
        And the node keeps no slot, and goes on with later records

        Examples:
            | flaw                                |
            | version 1.5                         |
            | version 1e308                       |
            | version -1                          |
            | a negative idle timeout             |
            | an idle timeout of 1e308 ms         |
            | a negative header timeout           |
            | a header timeout of 1e308 ms        |
            | a body limit of 0 bytes             |
            | a negative header limit             |
            | a route timeout of -1 ms            |
            | a route timeout of 1e308 ms         |
            | a latency objective of -1 ms        |
            | priority 1.5                        |
            | priority -1                         |
            | half an attempt                     |
            | no share                            |
            | shares of weight 0                  |
            | a share of negative weight          |
            | workspace priority 1.5              |
            | a workspace with a line break       |
            | a negative rate                     |
            | a negative charge                   |
            | a value nested 100,000 deep         |
            | a null value                        |

    Scenario Outline: an odd record of rollouts or nodes delays no other rollout and no call
        Given a relay with two servers, and one entry with port 0 that is written after a start
        When a record of <kind> is written
        And a rollout of a version is ordered
        And 60 calls are sent, 20 at a time
        Then each of them gets the whole answer of a server
        And the state of the rollout is written
        And the node keeps no slot, and goes on with later records

        Examples:
            | kind                                         |
            | an order of 1e308 s                          |
            | an order of -1 s                             |
            | an order without a target                    |
            | an order that is null                        |
            | a state that is not an object                |
            | a state that is not JSON                     |
            | a state nested 100,000 deep                  |
            | a start of the rollout that is null          |
            | a start of the rollout that is not JSON      |
            | a start of the rollout at -1e308 ms          |
            | a node without a port                        |
            | a node with port 99999                       |
            | a node with octet 999                        |
            | a node without an address                    |
            | a node with -1e308 cores                     |

    Scenario Outline: an odd report of a peer costs no call, stops no node and silences no other peer
        Given a relay with two servers, and one entry with port 0 that is written after a start
        And the caller's workspace has a quota
        When a peer sends a report with <flaw>
        And 60 calls are sent, 20 at a time
        Then each of them gets the whole answer of a server
        And another peer is heard and gets reports
        And a workspace over its quota is refused
        And the node keeps no slot, and goes on with later records

        Examples:
            | flaw                                 |
            | no port in its address               |
            | port 99999 in its address            |
            | an empty address                     |
            | octet 999 in its address             |
            | totals that are not numbers          |
            | totals that are infinite             |
            | totals that are as large as possible |
            | totals that are negative             |
            | a start time that is not a number    |
            | infinite cores                       |
            | topic views that are not numbers     |
            | statements that are not numbers      |
            | 4,000 servers                        |
            | as many waiting calls as fit         |
            | as many arriving calls as fit        |
            | as many calls at each server as fit  |
            | garbage                              |
            | no bytes                             |

    Scenario Outline: an odd call of a peer is rejected and costs no other call
        Given a relay with two servers, and one entry with port 0 that is written after a start
        When a peer hands over a call with <flaw>
        Then the peer gets status <status>
        When 60 calls are sent, 20 at a time
        Then each of them gets the whole answer of a server
        And the node keeps no slot, and goes on with later records

        Examples:
            | flaw                            | status |
            | no flaw                         | 200    |
            | an age that is not a number     | 400    |
            | an infinite age                 | 400    |
            | a deadline that is not a number | 400    |
            | an infinite deadline            | 400    |
            | a timeout that is not a number  | 400    |
            | a method with a space           | 400    |
            | a target with a space           | 400    |
            | a target without a slash        | 400    |
            | a header with a line break      | 400    |
            | a header without a value        | 400    |
            | garbage                         | 400    |

    Scenario Outline: an odd call costs no other call
        Given a relay with two servers, and one entry with port 0 that is written after a start
        When 10 calls with <flaw> are sent
        Then each of the odd calls gets status <status>
        When 60 calls are sent, 20 at a time
        Then each of them gets the whole answer of a server
        And the node keeps no slot, and goes on with later records

        Examples:
            | flaw                          | status |
            | a tab in its path             | 400    |
            | an infinite size              | 200    |
            | a size of 1e308 tokens        | 200    |
            | an infinite prompt part       | 200    |
            | a deadline of 1e308 ms        | 200    |
            | an infinite estimate          | 200    |
