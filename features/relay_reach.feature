Feature: Loss of the backend servers of a service
    A node compares the time of the last bytes of its servers with the present, every 40 ms. A call is under way at each server, and each
    server sends an event every 120 ms.

    Scenario Outline: a node that was held up for <hold> ms does not take its <servers> servers for silent, as it has not read what they sent
        Given a node with <servers> servers
        When the node is held up for <hold> ms
        Then it has lost no service and abandoned no call 2000 ms later

        Examples:
            | servers | hold |
            | 1       | 800  |
            | 1       | 1500 |
            | 2       | 1500 |
            | 3       | 5000 |

    Scenario Outline: a node loses a service whose <servers> servers stay silent after it was held up for <hold> ms
        Given a node with <servers> servers
        When the node is held up for <hold> ms, and the servers fall silent meanwhile
        Then it has lost the service 1000 ms later

        Examples:
            | servers | hold |
            | 1       | 0    |
            | 1       | 1500 |
            | 3       | 1500 |
