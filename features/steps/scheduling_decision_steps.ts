/**
 * Steps about single decisions of the scheduler.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Departure, type QueueRecord } from "../../measure/decision_history.js";
import { findPriorityInversions } from "../../measure/priority_inversions.js";
import {
    AdmissionClaims,
    CallQueue,
    OutstandingCall,
    type PoolScheduler,
    SchedulingObserver,
    type ShedReason,
    type WaitingCall,
} from "../../src/coordination/mod.js";
import { PREFIX_BLOCK_TOKENS, PrefixIndex, SeededRandom } from "../../src/state/mod.js";
import { makeCall, makePoolScheduler, makeServers, makeWaitingCall } from "../../standin/scheduling_fixtures.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Tokens of the prompt whose prefix is cached. */
const PROMPT_TOKENS = 2_000;

/** Number of engines in the prefix affinity scenarios. */
const ENGINE_COUNT = 3;

/** Components under test in one scenario. */
class SchedulingFixture {
    readonly clock = new VirtualClock();
    readonly queue = new CallQueue();
    readonly dequeuedCalls: WaitingCall[] = [];
    readonly observer = new RecordingObserver();
    readonly queueRecords: QueueRecord[] = [];
    claims = new AdmissionClaims(this.clock);
    pool: PoolScheduler | undefined;
    /** Calls that fill the servers' windows. */
    windowFillers: readonly OutstandingCall[] = [];
}

/** Observer that records the calls that were shed and dispatched. */
class RecordingObserver extends SchedulingObserver {
    readonly shedCalls: WaitingCall[] = [];
    readonly dispatchedCalls: WaitingCall[] = [];

    override recordDispatch(waiting: WaitingCall): void {
        this.dispatchedCalls.push(waiting);
    }

    override recordShed(waiting: WaitingCall, reason: ShedReason): void {
        assert.ok(reason.length > 0);
        this.shedCalls.push(waiting);
    }

    override recordWithdrawn(): void {
        // Not used by these scenarios.
    }

    override recordEjected(): void {
        // Not used by these scenarios.
    }

    override recordStalePrefix(): void {
        // Not used by these scenarios.
    }
}

const fixtures = new WeakMap<Scenario, SchedulingFixture>();

function fixtureOf(scenario: Scenario): SchedulingFixture {
    const fixture = fixtures.get(scenario) ?? new SchedulingFixture();
    fixtures.set(scenario, fixture);
    return fixture;
}

Given(
    "{int} waiting calls of workspace {string} and {int} of {string} in one tier",
    function(this: Scenario, large: number, first: string, small: number, second: string) {
        const { queue, clock } = fixtureOf(this);
        for (const [workspace, count] of [[first, large], [second, small]] as const) {
            for (let index = 0; index < count; index++) {
                queue.add(makeWaitingCall({ id: `${workspace}-${index}`, workspace, nowMs: clock.now() }));
            }
        }
    },
);

When("the first {int} calls are dequeued", function(this: Scenario, count: number) {
    const { queue, dequeuedCalls } = fixtureOf(this);
    for (let index = 0; index < count; index++) {
        const [next] = queue.tier(0).dispatchCandidates();
        queue.dequeue(next);
        dequeuedCalls.push(next);
    }
});

Then("at least {int} of them are of {string}", function(this: Scenario, min: number, workspace: string) {
    const count = fixtureOf(this).dequeuedCalls.filter(waiting => waiting.workspace === workspace).length;
    assert.ok(count >= min, `${count} calls of the workspace were dequeued`);
});

Given(
    "an admission claim that rank {int} is the lowest admitted, in force for {int} ms, {int} ms old",
    function(this: Scenario, lowestRank: number, inForceMs: number, ageMs: number) {
        fixtureOf(this).claims.receivePeerClaim("entry-2", { lowestRank, inForceMs }, ageMs);
    },
);

Then(
    /^rank (\d+) is (stopped|open), and rank (\d+) may be shed: (yes|no)$/,
    function(this: Scenario, rank: string, state: string, claimed: string, shed: string) {
        const { claims, clock } = fixtureOf(this);
        assert.equal(claims.isRankStopped(Number(rank)) ? "stopped" : "open", state);
        assert.equal(claims.lowerRanksStoppedSince(Number(claimed), [0, 1, 2, 3]) <= clock.now() ? "yes" : "no", shed);
    },
);

Given(
    "a pool whose windows are full and {int} waiting calls of rank {int}",
    function(this: Scenario, count: number, rank: number) {
        const fixture = fixtureOf(this);
        const pool = makePoolScheduler({
            clock: fixture.clock,
            random: new SeededRandom(1),
            observer: fixture.observer,
            servers: makeServers(1),
        });
        fixture.pool = pool;
        fixture.windowFillers = fillWindows(pool, fixture.clock);
        sendCalls(fixture, count, rank);
        assert.equal(pool.queue.size, count);
    },
);

When("{int} calls of rank {int} arrive", async function(this: Scenario, count: number, rank: number) {
    sendCalls(fixtureOf(this), count, rank);
    await fixtureOf(this).clock.advance(1);
});

When("the windows of the pool have capacity again", async function(this: Scenario) {
    const { pool, windowFillers, clock } = fixtureOf(this);
    for (const [index, window] of [...(pool?.servers.windows ?? [])].entries()) {
        window.remove(windowFillers[index], false, clock.now());
        pool?.servers.updateAvailability(window);
    }
    pool?.tick();
    await clock.advance(1);
});

Then("the first {int} calls that were dispatched are of rank {int}", function(this: Scenario, count: number, rank: number) {
    const { dispatchedCalls } = fixtureOf(this).observer;
    assert.ok(dispatchedCalls.length >= count, `${dispatchedCalls.length} calls were dispatched`);
    assert.ok(dispatchedCalls.slice(0, count).every(waiting => waiting.rank === rank));
});

Then(
    "{int} calls of rank {int} and no others were shed, and {int} calls wait",
    function(this: Scenario, shed: number, rank: number, left: number) {
        const { observer, pool } = fixtureOf(this);
        assert.deepEqual([observer.shedCalls.length, pool?.queue.size], [shed, left]);
        assert.ok(observer.shedCalls.every(waiting => waiting.rank === rank));
    },
);

Given(
    /^a call of rank (\d+) that arrives at (\d+) and is "?(shed|late|dispatched)"? at (\d+)$/,
    function(this: Scenario, rank: string, arrived: string, outcome: string, left: string) {
        fixtureOf(this).queueRecords.push(
            makeQueueRecord({ rank: Number(rank), arrived: Number(arrived), left: Number(left), outcome }),
        );
    },
);

Then(/^the checker finds (?:"([^"]*)"|nothing)$/, function(this: Scenario, reason: string | undefined) {
    const found = findPriorityInversions(fixtureOf(this).queueRecords).map(inversion => inversion.reason as string);
    assert.deepEqual(found, reason === undefined || reason === null ? [] : [reason]); // eslint-disable-line no-restricted-syntax
});

Given(
    "engines of equal speed where {string} caches {int} tokens of a prompt of {int} tokens",
    function(this: Scenario, holder: string, cachedTokens: number, promptTokens: number) {
        assert.equal(promptTokens, PROMPT_TOKENS);
        const { clock, observer } = fixtureOf(this);
        const prefixes = new PrefixIndex(clock);
        prefixes.store(holder, promptBlocks().slice(0, cachedTokens / PREFIX_BLOCK_TOKENS));
        const servers = makeServers(ENGINE_COUNT);
        fixtureOf(this).pool = makePoolScheduler({ clock, random: new SeededRandom(1), observer, servers, prefixes });
    },
);

Given("{string} has {int} tokens to prefill before the call", function(this: Scenario, holder: string, pending: number) {
    const { clock, pool } = fixtureOf(this);
    const window = [...(pool?.servers.windows ?? [])].find(candidate => candidate.server.vm.id === holder);
    assert.ok(window !== undefined);
    if (pending > 0) {
        window.add(new OutstandingCall({ prefillTokens: pending, outputTokens: 1, tokens: pending }, 0, clock.now()));
    }
});

Then(/^the call is sent to (?:"([^"]*)"|another engine)$/, async function(this: Scenario, choice: string | undefined) {
    const { clock, pool } = fixtureOf(this);
    const call = makeCall({ id: "call", promptTokens: PROMPT_TOKENS, prefixBlocks: promptBlocks(), nowMs: clock.now() });
    const signal = new AbortController().signal;
    const assignment = await pool?.assign(call, { signal, excludedServers: new Set() });
    if (choice) {
        assert.equal(assignment?.server.vm.id, choice);
        return;
    }
    assert.notEqual(assignment?.server.vm.id, "engine-2");
});

function promptBlocks(): readonly string[] {
    return Array.from({ length: Math.floor(PROMPT_TOKENS / PREFIX_BLOCK_TOKENS) }, (value, index) => `block-${index}`);
}

function fillWindows(pool: PoolScheduler, clock: VirtualClock): readonly OutstandingCall[] {
    return Array.from(pool.servers.windows, window => {
        const tokens = 2 * window.limit;
        const filler = new OutstandingCall({ prefillTokens: tokens, outputTokens: 1, tokens }, 0, clock.now());
        window.add(filler);
        pool.servers.updateAvailability(window);
        return filler;
    });
}

function sendCalls({ pool, clock }: SchedulingFixture, count: number, rank: number): void {
    for (let index = 0; index < count; index++) {
        const call = makeCall({ id: `${rank}-${index}`, rank, nowMs: clock.now() });
        const signal = new AbortController().signal;
        // Shed calls reject; the observer records them.
        pool?.assign(call, { signal, excludedServers: new Set() }).catch(() => undefined);
    }
}

/** Settings of a queue record. */
interface QueueRecordSettings {
    readonly rank: number;
    readonly arrived: number;
    readonly left: number;
    readonly outcome: string;
}

function makeQueueRecord({ rank, arrived, left, outcome }: QueueRecordSettings): QueueRecord {
    const departure = outcome === "shed" ? Departure.Shed : outcome === "late" ? Departure.Late : Departure.Dispatched;
    return { id: `${rank}`, node: "entry-1", pool: "pool", rank, arrivedAtMs: arrived, leftAtMs: left, departure };
}
