/**
 * Steps about calls that wait for a slot while the node is held up, under a virtual clock.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    AttemptOutcome,
    decideWaitLimits,
    ServerState,
    ServiceScheduler,
    type SlotReservation,
} from "../../src/coordination/relay/mod.js";
import { type RelayRoute, type RelayServer, SeededRandom, Semantics, ServerProfile } from "../../src/state/relay/mod.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Interval at which the node dispatches waiting calls, in milliseconds. */
const DISPATCH_INTERVAL_MS = 40;

/** Interval of the peer reports, in milliseconds. */
const REPORT_INTERVAL_MS = 200;

/** Time after which the scenarios end, in milliseconds. */
const MAX_WAIT_MS = 10_000;

/** Fraction of the first attempt's deadline that is left to a caller that retries. */
const RETRY_DEADLINE_FRACTION = 0.7;

/** Slots of the server; all but one are taken by calls of other nodes. */
const SLOTS = 20;

/** What the node does first after a hold-up. */
enum FirstStep {
    Dispatches = "waiting calls are dispatched",
    Reads = "the answer is read",
    Receives = "another call arrives",
}

const ROUTE: RelayRoute = {
    name: "route",
    host: "a.example",
    pathPrefix: "/",
    semantics: Semantics.RunOnce,
    isStream: false,
    isResumable: false,
    timeoutMs: 15_000,
    objectiveMs: 500,
    maxPauseMs: undefined,
    rank: 0,
    shares: [{ service: "s", weight: 1 }],
    maxAttempts: 1,
    isPublic: false,
};

const SERVER: RelayServer = {
    id: "only",
    service: "s",
    address: "127.0.0.1:1",
    failureDomain: "here",
    version: "v1",
    slots: SLOTS,
    isDraining: false,
    startedAtMs: 1_000,
    sequence: 1,
    warmUpMs: 0,
};

/** State of a scenario of this file. */
interface HeldUpWaitScenario extends Scenario {
    clock: VirtualClock;
    scheduler: ServiceScheduler;
    firstSlot: SlotReservation;
    othersInTime: number;
    waitStartedAtMs: number;
    /** Time at which the waiting call got the slot, in milliseconds. */
    slotAtMs: number | undefined;
    /** Time at which the waiting call was refused, in milliseconds. */
    refusedAtMs: number | undefined;
}

/** Requests a slot for a call that arrives now. */
function reserveSlot(scenario: HeldUpWaitScenario, deadlineMs: number, firstAttemptDeadlineMs: number): Promise<SlotReservation> {
    const arrivedAtMs = scenario.clock.now();
    return scenario.scheduler.reserveSlot({
        id: "call",
        route: ROUTE,
        workspaceRank: 0,
        arrivedAtMs,
        deadlineAtMs: arrivedAtMs + deadlineMs,
        waitLimits: decideWaitLimits(ROUTE, { arrivedAtMs, deadlineMs, firstAttemptDeadlineMs }),
        promptTokens: 100,
        expectedEvents: 10,
        promptPartId: undefined,
        mayLeave: () => false,
        excludedServers: new Set(),
        signal: new AbortController().signal,
        isTooLateForStop: () => false,
    });
}

/** Lets time pass without a turn of the event loop, and then runs its timers before it reads an event of the first call. */
async function hold(scenario: HeldUpWaitScenario, durationMs: number): Promise<void> {
    await scenario.clock.advance(durationMs);
    scenario.scheduler.dispatchWaiting();
    scenario.firstSlot.recordEvents(1);
    await scenario.clock.advance(0);
}

/** Lets time pass while the node runs. */
async function run(scenario: HeldUpWaitScenario, durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += DISPATCH_INTERVAL_MS) {
        await hold(scenario, DISPATCH_INTERVAL_MS);
    }
}

function startWait(scenario: HeldUpWaitScenario, deadlineMs: number, firstAttemptDeadlineMs = deadlineMs): void {
    scenario.waitStartedAtMs = scenario.clock.now();
    reserveSlot(scenario, deadlineMs, firstAttemptDeadlineMs).then(
        () => {
            scenario.slotAtMs = scenario.clock.now();
        },
        () => {
            scenario.refusedAtMs = scenario.clock.now();
        },
    );
}

Given("a node whose call takes the last slot of a server", async function(this: HeldUpWaitScenario) {
    this.clock = new VirtualClock();
    this.othersInTime = 0;
    const profile = new ServerProfile(0.01, 25, 500);
    const states = [new ServerState(SERVER, profile, this.clock, () => SLOTS - 1)];
    this.scheduler = new ServiceScheduler({
        service: "s",
        failureDomain: "here",
        clock: this.clock,
        random: new SeededRandom(1),
        candidates: () => states,
        mainServers: () => states,
        peerDemand: () => ({ inTimeCalls: this.othersInTime, lateCalls: 0, arrivalsPerSecond: 0 }),
        reportIntervalMs: () => REPORT_INTERVAL_MS,
        isOutOfReach: () => false,
        nodeCount: () => 6,
    });
    this.firstSlot = await reserveSlot(this, MAX_WAIT_MS, MAX_WAIT_MS);
    await run(this, DISPATCH_INTERVAL_MS);
});

Given("other nodes have {int} calls in time", function(this: HeldUpWaitScenario, count: number) {
    this.othersInTime = count;
});

When(
    "a call with a deadline of {int} ms waits, and the node is held up for {int} ms after {int} ms",
    async function(this: HeldUpWaitScenario, deadlineMs: number, holdMs: number, waitedMs: number) {
        startWait(this, deadlineMs);
        await run(this, waitedMs);
        await this.clock.advance(holdMs);
    },
);

When(
    /^the answer of the first call has arrived meanwhile, and (.*)$/,
    async function(this: HeldUpWaitScenario, first: string) {
        switch (first as FirstStep) {
            case FirstStep.Dispatches:
                this.scheduler.dispatchWaiting();
                break;
            case FirstStep.Receives:
                void reserveSlot(this, MAX_WAIT_MS, MAX_WAIT_MS).then(slot => slot.release(AttemptOutcome.Good));
                break;
            case FirstStep.Reads:
                break;
            default:
                assert.fail(`unknown step: ${first}`);
        }
        this.firstSlot.recordEvents(1);
        this.firstSlot.release(AttemptOutcome.Good);
        await run(this, DISPATCH_INTERVAL_MS);
    },
);

When(
    /^a call with a deadline of (\d+) ms waits, for the (first|second) time, and the node is held up after each (\d+) ms for (\d+) ms, (\d+) times$/,
    async function(this: HeldUpWaitScenario, deadline: string, attempt: string, waited: string, holdMs: string, times: string) {
        startWait(this, Number(deadline) * (attempt === "first" ? 1 : RETRY_DEADLINE_FRACTION), Number(deadline));
        for (let held = 0; held < Number(times); held += 1) {
            await run(this, Number(waited));
            await hold(this, Number(holdMs));
        }
        await run(this, MAX_WAIT_MS);
    },
);

When(
    "the node is held up for {int} ms, and then a call with a deadline of {int} ms waits",
    async function(this: HeldUpWaitScenario, holdMs: number, deadlineMs: number) {
        await hold(this, holdMs);
        startWait(this, deadlineMs);
        await run(this, MAX_WAIT_MS);
    },
);

Then("the waiting call gets the slot", function(this: HeldUpWaitScenario) {
    assert(this.slotAtMs !== undefined, `refused after ${(this.refusedAtMs ?? NaN) - this.waitStartedAtMs} ms`);
});

Then("the waiting call is refused after {int} ms", function(this: HeldUpWaitScenario, refusedAfterMs: number) {
    assert.equal(this.slotAtMs, undefined);
    assert.equal((this.refusedAtMs ?? NaN) - this.waitStartedAtMs, refusedAfterMs);
});
