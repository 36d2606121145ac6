Feature: Calls of nodes that reach no backend server
    Some relay nodes lose their links to all backend servers for 12 s, while callers and the other nodes reach them. 13 modelled servers.

    Scenario Outline: callers of <cut> of <nodes> nodes that reach no server are served, of <kind> calls, although their links <fault>
        Given <nodes> relay nodes that get <rate> <kind> calls a second
        When <cut> of them reach no server for 12 s because their links <fault>
        Then callers of these nodes are served at least nine tenths as often as others from 3 s after the cut began
        And callers of these nodes are served at least 98 hundredths as often as others from 3 s after the cut ended
        And no call ran twice unless it may be repeated

        Examples:
            | nodes | cut | rate | kind             | fault                  |
            | 9     | 1   | 90   | stream           | fall silent            |
            | 9     | 3   | 90   | stream           | fall silent            |
            | 9     | 5   | 90   | stream           | fall silent            |
            | 9     | 5   | 90   | resumable stream | fall silent            |
            | 9     | 5   | 150  | unsafe           | fall silent            |
            | 9     | 5   | 150  | safe             | fall silent            |
            | 9     | 5   | 90   | stream           | are reset              |
            | 9     | 5   | 150  | unsafe           | are reset              |
            | 9     | 5   | 90   | stream           | refuse new connections |
            | 9     | 5   | 150  | unsafe           | refuse new connections |
            | 24    | 6   | 90   | stream           | fall silent            |
            | 24    | 6   | 90   | stream           | are reset              |
            | 60    | 30  | 150  | unsafe           | fall silent            |
            | 60    | 15  | 90   | stream           | refuse new connections |

    Scenario Outline: callers of 3 of 9 nodes that reach no server are served although <trouble>
        Given 9 relay nodes that get 90 <kind> calls a second
        When 3 of them reach no server for 12 s because their links fall silent, and <trouble>
        Then callers of these nodes are served at least nine tenths as often as others from 3 s after the cut began
        And no call ran twice unless it may be repeated

        Examples:
            | kind             | trouble                                     |
            | stream           | a fifth of the nodes' reports are lost      |
            | stream           | the log is down                             |
            | resumable stream | another node restarts 5 s later             |
            | unsafe           | another node restarts 5 s later             |
            | stream           | another node loses its peers 5 s later      |
            | stream           | one of these nodes restarts 5 s later       |
            | stream           | two servers state a limit of 2 calls a second |

    Scenario Outline: <kind> calls on connections that hang are repeated by way of a peer
        Given 9 relay nodes that get <rate> <kind> calls a second
        When 5 of them reach no server for 12 s because their links fall silent
        Then 9 in 10 callers of these nodes are served in the first second of the cut

        Examples:
            | kind             | rate |
            | safe             | 150  |

    Scenario: no call takes a detour while all nodes reach the servers
        Given 9 relay nodes that get 90 stream calls a second
        When 0 of them reach no server for 12 s because their links fall silent
        Then no call takes a detour

    Scenario: no call takes a detour while one server of 13 falls silent for 1 s after the other
        Given 9 relay nodes that get 90 stream calls a second
        When servers crash one after the other for 12 s
        Then no call takes a detour

    Scenario: a good version is not rolled back because 5 of 9 nodes reach no server
        Given 9 relay nodes that get 90 stream calls a second
        When a good version is ordered and 5 nodes reach no server for 12 s because their links are reset
        Then the version is completed
