/**
 * Steps about errors in the dispatch of waiting calls, under a virtual clock.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { AttemptOutcome, ServerState, ServiceScheduler, type SlotReservation } from "../../src/coordination/relay/mod.js";
import { SeededRandom, Semantics, ServerProfile } from "../../src/state/relay/mod.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Time for which calls may wait, in milliseconds. */
const WAIT_MS = 5_000;

const ERROR_TEXT = "thrown by the test";

/** State of a scenario of this file. */
interface DispatchScenario extends Scenario {
    dispatchClock: VirtualClock;
    dispatchState: ServerState;
    dispatcher: ServiceScheduler;
    taken: SlotReservation;
    failingPart: string | undefined;
    dispatchErrors: unknown[];
    slots: SlotReservation[];
    slotErrors: unknown[];
    callCount: number;
}

Given("a scheduler of one server with one slot, which is taken", async function(this: DispatchScenario) {
    const clock = new VirtualClock();
    this.dispatchClock = clock;
    this.dispatchErrors = [];
    this.slots = [];
    this.slotErrors = [];
    this.callCount = 0;
    const server = {
        id: "only",
        service: "s",
        address: "127.0.0.1:1",
        failureDomain: "here",
        version: "v1",
        slots: 1,
        isDraining: false,
        startedAtMs: 1_000,
        sequence: 1,
        warmUpMs: 0,
    };
    this.dispatchState = new ServerState(server, new ServerProfile(0.01, 25, 500), clock, () => 0);
    const failOnce = (part: string) => {
        if (this.failingPart === part) {
            this.failingPart = undefined;
            throw new Error(ERROR_TEXT);
        }
    };
    this.dispatcher = new ServiceScheduler({
        service: "s",
        failureDomain: "here",
        clock,
        random: new SeededRandom(1),
        candidates: () => [this.dispatchState],
        mainServers: () => {
            failOnce("the list of the servers");
            return [this.dispatchState];
        },
        peerDemand: () => ({ inTimeCalls: 0, lateCalls: 0, arrivalsPerSecond: 0 }),
        reportIntervalMs: () => WAIT_MS,
        isOutOfReach: () => {
            failOnce("the check of the reach");
            return false;
        },
        nodeCount: () => 1,
        onDispatchFailed: error => this.dispatchErrors.push(error),
    });
    reserve(this);
    await settle();
    const [taken] = this.slots.splice(0);
    assert(taken !== undefined);
    this.taken = taken;
});

Given("{int} calls that wait for it", async function(this: DispatchScenario, count: number) {
    for (let call = 0; call < count; call += 1) {
        reserve(this);
    }
    await settle();
    assert.equal(this.dispatcher.waitingCalls, count);
});

When(/^(.+) fails once as the slot is released$/, function(this: DispatchScenario, part: string) {
    this.failingPart = part;
    this.taken.release(AttemptOutcome.Good);
});

When(/^(.+) fails once as a call is queued$/, async function(this: DispatchScenario, part: string) {
    this.failingPart = part;
    reserve(this);
    await settle();
});

Then("the release succeeds, and the error is reported once", function(this: DispatchScenario) {
    assertReported(this);
});

Then("the call waits, and the error is reported once", function(this: DispatchScenario) {
    assertReported(this);
    assert.deepEqual(this.slotErrors, []);
    this.taken.release(AttemptOutcome.Good);
});

Then("the waiting calls get the slot one after the other, and no slot is kept", async function(this: DispatchScenario) {
    for (let served = 1; served < this.callCount; served += 1) {
        this.dispatcher.dispatchWaiting();
        await settle();
        assert.equal(this.slots.length, served);
        this.slots.at(-1)?.release(AttemptOutcome.Good);
        await settle();
    }
    assert.deepEqual(this.slotErrors, []);
    assert.equal(this.dispatcher.waitingCalls, 0);
    assert.equal(this.dispatchState.ownCalls, 0);
});

function assertReported({ dispatchErrors, failingPart }: DispatchScenario): void {
    assert.equal(failingPart, undefined);
    assert.deepEqual(dispatchErrors.map(error => (error as Error).message), [ERROR_TEXT]);
}

function reserve(scenario: DispatchScenario): void {
    scenario.callCount += 1;
    const arrivedAtMs = scenario.dispatchClock.now();
    scenario.dispatcher.reserveSlot({
        id: `call-${scenario.callCount}`,
        route: {
            name: "route",
            host: "a.example",
            pathPrefix: "/",
            semantics: Semantics.Repeatable,
            isStream: false,
            isResumable: false,
            timeoutMs: WAIT_MS,
            objectiveMs: WAIT_MS,
            maxPauseMs: undefined,
            rank: 0,
            shares: [{ service: "s", weight: 1 }],
            maxAttempts: 2,
            isPublic: false,
        },
        workspaceRank: 0,
        arrivedAtMs,
        deadlineAtMs: arrivedAtMs + WAIT_MS,
        waitLimits: { isCallerRetry: false, inTimeUntilMs: arrivedAtMs + WAIT_MS, giveUpAtMs: arrivedAtMs + WAIT_MS },
        promptTokens: 100,
        expectedEvents: 10,
        promptPartId: undefined,
        mayLeave: () => false,
        excludedServers: new Set(),
        signal: new AbortController().signal,
        isTooLateForStop: () => false,
    }).then(slot => scenario.slots.push(slot), (error: unknown) => scenario.slotErrors.push(error));
}

/** Lets the callers of slots that were given go on. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < 5; turn += 1) {
        await Promise.resolve();
    }
}
