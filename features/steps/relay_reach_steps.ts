/**
 * Steps about the loss of the backend servers of a service, under a virtual clock.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type InFlightCall, ServerReach, ServerState } from "../../src/coordination/relay/mod.js";
import { type RelayServer, SeededRandom, ServerProfile } from "../../src/state/relay/mod.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

const SERVICE = "service";

/** Interval of the node's checks, in milliseconds. */
const CHECK_INTERVAL_MS = 40;

/** Interval of the events of each call, in milliseconds; a multiple of the checks' interval. */
const EVENT_INTERVAL_MS = 120;

/** Time for which calls are under way before anything happens, in milliseconds. */
const WARM_UP_MS = 600;

/** State of a scenario of this file. */
interface ReachScenario extends Scenario {
    clock: VirtualClock;
    reach: ServerReach;
    calls: readonly { readonly state: ServerState; readonly call: InFlightCall }[];
    areServersSilent: boolean;
    losses: number;
    abandonedCalls: number;
}

function makeServer(index: number): RelayServer {
    return {
        id: `server-${index}`,
        service: SERVICE,
        address: `127.0.0.1:${index + 1}`,
        failureDomain: "zone-a",
        version: "v1",
        slots: 4,
        isDraining: false,
        startedAtMs: 0,
        sequence: 1,
        warmUpMs: 0,
    };
}

/** Lets time pass while the node runs: a turn of its event loop runs its timers, then reads what has arrived. */
async function run(scenario: ReachScenario, durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += CHECK_INTERVAL_MS) {
        await scenario.clock.advance(CHECK_INTERVAL_MS);
        scenario.reach.check();
        if (!scenario.areServersSilent && elapsedMs % EVENT_INTERVAL_MS === 0) {
            for (const { state, call } of scenario.calls) {
                state.recordFirstEvent(call);
                state.recordEvents(call, 1);
            }
        }
    }
}

Given("a node with {int} servers", async function(this: ReachScenario, count: number) {
    const clock = new VirtualClock();
    const profile = new ServerProfile(0.01, EVENT_INTERVAL_MS, 1_000);
    const states = Array.from({ length: count }, (unused, index) => new ServerState(makeServer(index), profile, clock, () => 0));
    this.clock = clock;
    this.areServersSilent = false;
    this.losses = 0;
    this.abandonedCalls = 0;
    this.reach = new ServerReach({
        clock,
        random: new SeededRandom(1),
        services: () => [SERVICE],
        openServers: () => states,
        probe: () => Promise.resolve(false),
        onLost: () => {
            this.losses += 1;
        },
        onRegained: () => undefined,
    });
    this.calls = states.map(state => ({ state, call: state.startCall(100) }));
    for (const { state } of this.calls) {
        this.reach.watch(SERVICE, {
            state,
            onLost: () => {
                this.abandonedCalls += 1;
            },
        });
    }
    await run(this, WARM_UP_MS);
    assert.equal(this.losses, 0);
});

When("the node is held up for {int} ms", async function(this: ReachScenario, holdMs: number) {
    await this.clock.advance(holdMs);
});

When(
    "the node is held up for {int} ms, and the servers fall silent meanwhile",
    async function(this: ReachScenario, holdMs: number) {
        this.areServersSilent = true;
        await this.clock.advance(holdMs);
    },
);

Then(
    "it has lost no service and abandoned no call {int} ms later",
    async function(this: ReachScenario, durationMs: number) {
        await run(this, durationMs);
        assert.equal(this.losses, 0);
        assert.equal(this.abandonedCalls, 0);
    },
);

Then("it has lost the service {int} ms later", async function(this: ReachScenario, durationMs: number) {
    await run(this, durationMs);
    assert(this.reach.isLost(SERVICE));
});
