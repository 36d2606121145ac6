Feature: Homes of calls
    Regions to which calls are confined, without a network. Guards against calls and bodies that reach a server or a node elsewhere.

    Scenario Outline: a call of a route with <route> and a workspace with <workspace> has the homes <homes>
        When a configuration gives a route <route> and a workspace <workspace>
        Then a call of both has the homes <homes>

        Examples:
            | route        | workspace    | homes        |
            | none         | none         | none         |
            | an empty list | an empty list | none       |
            | north        | none         | north        |
            | none         | north, south | north, south |
            | north, south | south, west  | south        |
            | north        | south        | no region    |

    Scenario Outline: a call with the homes <homes> gets <servers> of <fleet>, with <orders> and a rollout that is <state>
        The region of a is north, that of b is south, and that of c is unknown.

        Given servers <fleet> and a rollout to version v2 that is <state>
        When there is <orders>
        And the homes of the call are <homes>
        Then a call of the <version> version gets <servers>

        Examples:
            | fleet                     | homes        | orders         | state   | version | servers          |
            | v1 in a, v1 in b, v1 in c | north        | an order for none | running | old  | v1 in a          |
            | v1 in a, v1 in b, v1 in c | north, south | an order for none | running | old  | v1 in a, v1 in b |
            | v1 in a, v1 in b, v1 in c | west         | an order for none | running | old  | refused: homes   |
            | v1 in a, v1 in b, v1 in c | no region    | an order for none | running | old  | refused: homes   |
            | v1 in c                   | north        | an order for none | running | old  | refused: homes   |
            | none                      | north        | an order for none | running | old  | a wait           |
            | v1 in a, v1 in b          | north        | an order for a | running | old     | refused: emptied |
            | v1 in a, v1 in b          | north, south | an order for a | running | old     | v1 in b          |
            | v1 in a, v1 in b          | west         | an order for a | running | old     | refused: homes   |
            | v1 in a, v2 in b          | north        | an order for none | running | new  | v1 in a          |
            | v1 in a, v2 in b          | south        | an order for none | running | old  | refused: homes   |
            | v1 in a, v2 in b          | south        | an order for none | running | new  | v2 in b          |

    Scenario Outline: a call with the homes <homes> may be handed to <peers>
        Given nodes in a, b and c that can take calls
        Then a call with the homes <homes> may be handed to the nodes in <peers>

        Examples:
            | homes        | peers   |
            | none         | a, b, c |
            | north        | a       |
            | north, south | a, b    |
            | west         | none    |
            | no region    | none    |

    Scenario Outline: a message about a call with the homes <homes> keeps them, and an earlier build <what>
        When a call with the homes <homes> is handed to a peer
        Then the peer reads the homes <homes>
        And a peer of an earlier build <what>

        Examples:
            | homes        | what                            |
            | none         | reads it as before              |
            | north        | refuses it as not run           |
            | north, south | refuses it as not run           |
            | no region    | refuses it as not run           |

    Scenario Outline: settings with the failure domains <settings> know the regions <regions>, and records are applied within <applyMs> ms
        When a node in a reads settings with the failure domains <settings>
        Then it knows the regions <regions>
        And it applies records within <applyMs> ms

        Examples:
            | settings                                                      | regions           | applyMs |
            | { }                                                           | none              | 3000    |
            | { emptyMs: , region: , regions: }                             | none              | 3000    |
            | { emptyMs: 0, region: "north", regions: { } }                 | a north           | 3000    |
            | { emptyMs: 5000, region: "north", regions: { "b": "south" } } | a north, b south  | 3000    |
            | { emptyMs: 2000, region: "north", regions: { "a": "south" } } | a south           | 2000    |
            | { regions: { "constructor": "south" } }                       | constructor south | 3000    |
