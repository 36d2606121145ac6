Feature: Program of a relay node
    The real program as a process of its own, beside a stand-in of the platform's store.

    Scenario: a reader of the log that stands still neither delays calls nor keeps the program from ending
        Given a relay program whose log nobody reads
        When 3000 calls that each write a line are sent, 20 at a time
        Then each of them is answered within 1000 ms
        And the program holds less than 200 MB
        When the relay program is told to leave
        Then it ends within 3000 ms with code 0
