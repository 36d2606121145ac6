/**
 * Steps about following the platform's log, under a virtual clock.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { pino } from "pino";
import { PlatformRecords } from "../../platform/mod.js";
import { LogHealth, ServerCatalog, VersionRollouts } from "../../src/coordination/relay/mod.js";
import { LogFollower, RelayLog } from "../../src/daemon/relay/mod.js";
import { KeyedLogModel } from "../../standin/keyed_log_model.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import { makeConfiguration } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Time in which a node must act on a record, in milliseconds; the platform's bound. */
const APPLY_MS = 2_000;

/** Distance between the moments at which a record is written, in milliseconds. */
const MOMENT_INTERVAL_MS = 50;

/** Time after which a record counts as never acted on, in milliseconds. */
const GIVE_UP_MS = 10_000;

/** State of a scenario of this file. */
interface FollowingScenario extends Scenario {
    /** Brings a log to the state of the scenario. */
    applyFault: (log: KeyedLogModel) => void;
    /** Time until a node acted on a record, for each moment at which it was written, in milliseconds. */
    delaysMs: number[];
}

/** Effect of each fault on a log. */
const faults = new Map<string, (log: KeyedLogModel) => void>([
    ["nothing fails", () => undefined],
    ["open reads are held until the end of their wait", log => {
        log.holdsReads = true;
    }],
]);

Given("a platform's log where {}", function(this: FollowingScenario, fault: string) {
    const applyFault = faults.get(fault);
    assert(applyFault !== undefined, `unknown fault "${fault}"`);
    this.applyFault = applyFault;
});

When(
    "a configuration is written at each of {int} moments of a node's reads",
    async function(this: FollowingScenario, count: number) {
        this.delaysMs = [];
        for (let moment = 0; moment < count; moment += 1) {
            const clock = new VirtualClock();
            const log = new KeyedLogModel(clock);
            log.put("keyed.op", "config", makeConfiguration(1, ["key"]));
            const stopped = new AbortController();
            const follower = makeFollower(log, clock);
            const running = follower.run(stopped.signal);
            await clock.advance(MOMENT_INTERVAL_MS * (moment + 1));
            this.applyFault(log);
            log.put("keyed.op", "config", makeConfiguration(2, ["key"]));
            this.delaysMs.push(await measureDelay(clock, () => follower.configuration?.version === 2));
            stopped.abort();
            await clock.runUntil(running);
        }
    },
);

Then("it is always in force within {int} ms", function(this: FollowingScenario, limitMs: number) {
    assert.equal(limitMs, APPLY_MS);
    assert(Math.max(...this.delaysMs) <= limitMs, `it took up to ${Math.max(...this.delaysMs)} ms`);
});

/** Advances the clock until a condition holds, and returns how long that took, in milliseconds. */
async function measureDelay(clock: VirtualClock, condition: () => boolean): Promise<number> {
    const startMs = clock.now();
    while (!condition() && clock.now() - startMs < GIVE_UP_MS) {
        await clock.advance(1);
    }
    return clock.now() - startMs;
}

function makeFollower(log: KeyedLogModel, clock: VirtualClock): LogFollower {
    const records = new PlatformRecords();
    const health = new LogHealth(clock, { onLost: () => undefined, onRegained: () => undefined });
    return new LogFollower({
        log,
        clock,
        records,
        health,
        catalog: new ServerCatalog(clock, health, { onServerUpdated: () => undefined, onServerRemoved: () => undefined }),
        rollouts: new VersionRollouts({
            clock,
            log,
            records,
            bounds: { maxShare: 0.1, slackCalls: 50 },
            peerCounts: () => [],
            onChange: () => undefined,
        }),
        relayLog: new RelayLog({ logger: pino({ level: "silent" }), clock, linesPerSecond: 1, onCallEnded: () => undefined }),
        applyMs: APPLY_MS,
        leaveMs: APPLY_MS,
        onRead: () => undefined,
        onConfiguration: () => undefined,
    });
}
