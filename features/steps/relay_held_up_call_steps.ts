/**
 * Steps about calls of a relay node program whose event loop is held up.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { EngineServer, PLAIN_BODY } from "../../platform/standin/engine_server.js";
import { formatCall, type RawAnswer, RawCaller } from "../support/raw_caller.js";
import { waitFor } from "../support/relay_fixture.js";
import { RelayProgram } from "../support/relay_program.js";
import type { Scenario } from "../support/world.js";

/** Time limit of steps that start the program or wait for answers, in milliseconds. */
const STEP_TIMEOUT_MS = 20_000;

/** Time within which the program receives what is sent to it, in milliseconds. */
const DELIVERY_MS = 50;

/** Time between hold-ups that follow each other, in milliseconds. */
const HOLD_UP_PAUSE_MS = 20;

/** State of a scenario of this file. */
interface HeldUpCallScenario extends Scenario {
    heldUpProgram: RelayProgram;
    heldUpEngines: readonly EngineServer[];
    heldUpCallers: readonly RawCaller[];
    heldUpAnswers: readonly (readonly RawAnswer[])[];
    /** Time from the SIGTERM, or from the first hold-up, to the first answer, in milliseconds. */
    firstAnswerMs: number;
}

After({ timeout: STEP_TIMEOUT_MS }, async function(this: HeldUpCallScenario) {
    for (const caller of this.heldUpCallers ?? []) {
        caller.close();
    }
    await this.heldUpProgram?.stop();
    for (const engine of this.heldUpEngines ?? []) {
        engine.close();
    }
});

function countReceived(engines: readonly EngineServer[]): number {
    return engines.reduce((sum, engine) => sum + engine.receivedCalls.length, 0);
}

Given(
    "a relay program before {int} servers of one slot that take {int} ms",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: HeldUpCallScenario, count: number, processingMs: number) {
        this.heldUpEngines = Array.from({ length: count }, (unused, index) => new EngineServer(`engine-${index}`));
        for (const engine of this.heldUpEngines) {
            engine.processingMs = processingMs;
            await engine.start();
        }
        this.heldUpProgram = new RelayProgram();
        await this.heldUpProgram.prepare(this.heldUpEngines, { Slots: 1 });
        await this.heldUpProgram.start();
    },
);

Given(
    "a relay program before a server whose answers of {int} kB take {int} ms",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: HeldUpCallScenario, kilobytes: number, processingMs: number) {
        const engine = new EngineServer("engine-0");
        engine.processingMs = processingMs;
        engine.answerBody = "x".repeat(kilobytes * 1_000);
        await engine.start();
        this.heldUpEngines = [engine];
        this.heldUpProgram = new RelayProgram();
        await this.heldUpProgram.prepare(this.heldUpEngines);
        await this.heldUpProgram.start();
    },
);

When(
    /^an? "(\w+)" call is sent(, and then a SIGTERM)?, and the program is held up from (\d+) ms to (\d+) ms$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: HeldUpCallScenario, kind: string, stop: string | undefined, fromMs: string, toMs: string) {
        const caller = await RawCaller.connect(this.heldUpProgram.callerAddress);
        this.heldUpCallers = [caller];
        caller.write(formatCall("call", `/${kind}/x`));
        await waitFor("the server has the call", () => countReceived(this.heldUpEngines) === 1);
        if (stop !== undefined) {
            this.heldUpProgram.signal("SIGTERM");
        }
        await pause(Number(fromMs));
        this.heldUpProgram.holdUp(Number(toMs) - Number(fromMs));
        this.heldUpAnswers = [await caller.readAnswers(1)];
    },
);

Then("the held-up call gets the whole answer of the server", function(this: HeldUpCallScenario) {
    const [answer] = this.heldUpAnswers[0] ?? [];
    assert.equal(answer?.status, 200, answer?.body.slice(0, 200));
    assert.equal(answer?.body, this.heldUpEngines[0]?.answerBody);
});

Then("the held-up call gets status {int}", function(this: HeldUpCallScenario, status: number) {
    const [answer] = this.heldUpAnswers[0] ?? [];
    assert.deepEqual([answer?.status, answer?.isComplete], [status, true]);
});

When(
    "{int} {string} calls are sent, and the program is held up for {int} ms",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: HeldUpCallScenario, count: number, kind: string, holdMs: number) {
        const calls = Array.from({ length: count }, (unused, index) => formatCall(`call-${index}`, `/${kind}/x`));
        this.heldUpCallers = await Promise.all(calls.map(() => RawCaller.connect(this.heldUpProgram.callerAddress)));
        for (const [index, caller] of this.heldUpCallers.entries()) {
            caller.write(calls[index] ?? "");
        }
        await waitFor("the servers have calls", () => countReceived(this.heldUpEngines) === this.heldUpEngines.length);
        await pause(DELIVERY_MS);
        this.heldUpProgram.holdUp(holdMs);
        this.heldUpAnswers = await Promise.all(this.heldUpCallers.map(caller => caller.readAnswers(1)));
    },
);

Then("each of them gets the answer of a server, and none has run twice", function(this: HeldUpCallScenario) {
    const answers = this.heldUpAnswers.map(([answer]) => `${answer?.status ?? 0} ${answer?.body ?? ""}`);
    assert.deepEqual(answers, answers.map(() => `200 ${PLAIN_BODY}`));
    assert.equal(countReceived(this.heldUpEngines), answers.length);
});

When(
    "an {string} call is sent, and then a SIGTERM, and the program is held up {int} times for {int} ms",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: HeldUpCallScenario, kind: string, times: number, holdMs: number) {
        const caller = await RawCaller.connect(this.heldUpProgram.callerAddress);
        this.heldUpCallers = [caller];
        caller.write(formatCall("call", `/${kind}/x`));
        await waitFor("the server has the call", () => countReceived(this.heldUpEngines) === 1);
        const startMs = performance.now();
        this.heldUpProgram.signal("SIGTERM");
        this.heldUpProgram.holdUp(holdMs, times, HOLD_UP_PAUSE_MS);
        this.heldUpAnswers = [await caller.readAnswers(1)];
        this.firstAnswerMs = performance.now() - startMs;
    },
);

Then("the held-up call gets status {int} within {int} ms", function(this: HeldUpCallScenario, status: number, limitMs: number) {
    const [answer] = this.heldUpAnswers[0] ?? [];
    assert.equal(answer?.status, status);
    assert(this.firstAnswerMs <= limitMs, `answered after ${this.firstAnswerMs} ms`);
});

When(
    "{int} {string} calls are sent, and the program is held up {int} times for {int} ms",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: HeldUpCallScenario, count: number, kind: string, times: number, holdMs: number) {
        this.heldUpCallers = await Promise.all(
            Array.from({ length: count }, () => RawCaller.connect(this.heldUpProgram.callerAddress)),
        );
        for (const [index, caller] of this.heldUpCallers.entries()) {
            caller.write(formatCall(`call-${index}`, `/${kind}/x`));
        }
        await waitFor("the servers have calls", () => countReceived(this.heldUpEngines) === this.heldUpEngines.length);
        const startMs = performance.now();
        this.heldUpProgram.holdUp(holdMs, times, HOLD_UP_PAUSE_MS);
        this.heldUpAnswers = [await Promise.race(this.heldUpCallers.map(caller => caller.readAnswers(1)))];
        this.firstAnswerMs = performance.now() - startMs;
    },
);

Then("one of them is refused within {int} ms", function(this: HeldUpCallScenario, limitMs: number) {
    const [answer] = this.heldUpAnswers[0] ?? [];
    assert.equal(answer?.status, 503);
    assert(this.firstAnswerMs <= limitMs, `answered after ${this.firstAnswerMs} ms`);
});
