Feature: Interleavings of claims
    Whatever happens in whatever order, a filing takes effect at most once and every answer about it is true.

    Scenario Outline: random faults, retries and pauses at several nodes
        When <runs> random interleavings of <nodes> nodes are run with seed <seed>
        Then in none of them a filing ran twice or an answer was false

        Examples:
            | runs | nodes | seed |
            | 40   | 2     | 1    |
            | 40   | 3     | 2    |
            | 40   | 4     | 3    |
