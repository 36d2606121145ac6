/**
 * Steps about the bound on the connections of a port.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { BoundedConnection, ConnectionBound, ConnectionUse } from "../../src/transport/mod.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Uses of connections by their words in the feature. */
const USES: Readonly<Record<string, ConnectionUse>> = {
    stalled: ConnectionUse.Stalled,
    spare: ConnectionUse.Spare,
    new: ConnectionUse.New,
    kept: ConnectionUse.Kept,
    serving: ConnectionUse.Serving,
};

/** State of a scenario of this file. */
interface BoundScenario extends Scenario {
    boundClock: VirtualClock;
    bound: ConnectionBound;
    boundCount: number;
    givenUp: number[];
    refused: number[];
}

/** Connection with a fixed use. */
class FixedConnection extends BoundedConnection {
    constructor(
        private readonly number: number,
        private readonly fixedUse: ConnectionUse,
        private readonly progressMs: number,
        private readonly scenario: BoundScenario,
    ) {
        super();
    }

    override use(): ConnectionUse {
        return this.fixedUse;
    }

    override lastProgressMs(): number {
        return this.progressMs;
    }

    override giveUp(): void {
        this.scenario.givenUp.push(this.number);
    }

    override refuse(): void {
        this.scenario.refused.push(this.number);
    }
}

Given(
    /^a port with at most (\d+) connections that are (.+)$/,
    async function(this: BoundScenario, maxConnections: string, connections: string) {
        this.boundClock = new VirtualClock();
        this.bound = new ConnectionBound({ clock: this.boundClock, maxConnections: Number(maxConnections) });
        this.boundCount = 0;
        this.givenUp = [];
        this.refused = [];
        for (const connection of connections.split(", ")) {
            addConnection(this, connection);
        }
    },
);

When(/^a connection that is (.+) comes$/, async function(this: BoundScenario, connection: string) {
    addConnection(this, connection);
    // Connections are judged after two passes of the event loop.
    for (let pass = 0; pass < 3; pass += 1) {
        await new Promise(resolve => setImmediate(resolve));
    }
});

Then(
    /^the connections (.+) were given up, and (.+) was refused$/,
    function(this: BoundScenario, givenUp: string, refused: string) {
        assert.equal(this.givenUp.join(" ") || "none", givenUp);
        assert.equal(this.refused.join(" ") || "none", refused);
    },
);

/** Adds a connection, given as its use and the seconds since it made progress. */
function addConnection(scenario: BoundScenario, text: string): void {
    const [use = "", seconds] = text.split(" ");
    scenario.boundCount += 1;
    const progressMs = scenario.boundClock.now() - Number(seconds) * 1_000;
    scenario.bound.add(new FixedConnection(scenario.boundCount, USES[use] ?? ConnectionUse.Stalled, progressMs, scenario));
}
