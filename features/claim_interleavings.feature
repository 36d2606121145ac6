Feature: Interleavings of claims
    Under any interleaving of calls and faults, a filing takes effect at most once and every answer about it is true.

    Scenario Outline: random faults, retries and pauses at several nodes
        When <runs> random interleavings of <nodes> nodes are run with seed <seed>
        Then no run executed a filing twice or gave a false answer

        Examples:
            | runs | nodes | seed |
            | 40   | 2     | 1    |
            | 40   | 3     | 2    |
            | 40   | 4     | 3    |
