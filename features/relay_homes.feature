@loopback
Feature: Homes of calls before real nodes
    Two relay nodes in two regions, north with zone-a and south with zone-b. Guards against calls and bodies that leave their homes: no
    deployment at hand has two regions, so only tests show it.

    Scenario Outline: safe calls of a route with the homes <route> and a workspace with the homes <workspace> reach <servers>
        Given a first node in region north and a second one in region south
        And two relay nodes with 2 servers in zone-a and 2 in zone-b
        And the first server in zone-b resets connections after a run
        When the route gets the homes <route> and the workspace the homes <workspace>
        And 10 safe calls are sent to each node, one after the other
        Then the calls have reached servers in <servers> only, or were refused as not run for their homes if these are none

        Examples:
            | route        | workspace | servers |
            | none         | south     | zone-b  |
            | north, south | south     | zone-b  |
            | north        | none      | zone-a  |
            | north        | south     | none    |
            | west         | none      | none    |

    Scenario Outline: calls with the homes <homes> of a node that reaches no server are <outcome>
        Given a first node in region north and a second one in region south
        And two relay nodes with 2 servers in zone-a and 2 in zone-b, of which the first node reaches none
        When the route gets the homes <homes> and the workspace the homes none
        And 3 safe calls are sent to the first node, one after the other
        Then they are <outcome>

        Examples:
            | homes        | outcome                               |
            | south        | handed to the second node and answered |
            | north        | refused as not run, and not handed on |
