Feature: Bound on the connections of a port
    From two thirds of its connections on, a port closes those that are least worth keeping; at the bound, new ones are closed unread.

    # Guards against callers that come to nothing and keep others out.
    Scenario Outline: of the connections <connections> of a port with at most 6, <closed> are closed when one more comes
        Given a port with at most 6 connections that are <connections>
        When a connection that is <newcomer> comes
        Then the connections <closed> were given up, and <refused> was refused

        Examples: below two thirds, all stay
            | connections                        | newcomer  | closed | refused |
            | stalled 9, stalled 5               | serving 0 | none   | none    |
            | spare 9, stalled 5, serving 0      | new 0     | none   | none    |

        Examples: stalled ones go first, then spare ones, then new ones, those without progress for longest first
            | connections                                 | newcomer  | closed | refused |
            | stalled 9, stalled 5, kept 9, serving 9     | serving 0 | 1 2    | none    |
            | stalled 5, stalled 9, kept 9, serving 9     | serving 0 | 2 1    | none    |
            | spare 9, stalled 5, kept 9, serving 9       | serving 0 | 2 1    | none    |
            | new 0, spare 9, stalled 5, serving 9        | new 0     | 3 2    | none    |
            | kept 9, new 0, serving 9, serving 9         | serving 0 | 2      | none    |

        Examples: those that made progress within a second go only as far as the port is crowded
            | connections                                     | newcomer  | closed | refused |
            | stalled 0.5, stalled 0.2, serving 0, serving 0  | serving 0 | 1      | none    |

        Examples: connections in use, or that their callers count on, are never closed
            | connections                                      | newcomer  | closed | refused |
            | kept 9, kept 9, serving 9, serving 9             | new 0     | 5      | none    |
            | kept 9, kept 9, serving 9, serving 9             | serving 0 | none   | none    |
            | kept 9, kept 9, serving 9, serving 9, serving 9, serving 9 | new 0 | none | 7    |
