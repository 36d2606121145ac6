/**
 * Steps about signals to the relay node program.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { EngineServer } from "../../platform/standin/engine_server.js";
import { formatCall, type RawAnswer, RawCaller } from "../support/raw_caller.js";
import { waitFor } from "../support/relay_fixture.js";
import { RelayProgram } from "../support/relay_program.js";
import type { Scenario } from "../support/world.js";

/** Time limit of steps that start the program or wait for its end, in milliseconds. */
const STEP_TIMEOUT_MS = 20_000;

/** Time within which the program receives a signal that was sent to it, in milliseconds. */
const DELIVERY_MS = 100;

/** State of a scenario of this file. */
interface SignalScenario extends Scenario {
    signalProgram: RelayProgram;
    signalEngine: EngineServer;
    signalCallers: RawCaller[];
    signalAnswers: readonly (readonly RawAnswer[])[];
    provideSettings: () => Promise<void>;
}

After({ timeout: STEP_TIMEOUT_MS }, async function(this: SignalScenario) {
    for (const caller of this.signalCallers ?? []) {
        caller.close();
    }
    await this.signalProgram?.stop();
    this.signalEngine?.close();
});

Given(
    "a relay program and a server whose calls take {int} ms",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: SignalScenario, processingMs: number) {
        this.signalEngine = new EngineServer("engine-1");
        this.signalEngine.processingMs = processingMs;
        await this.signalEngine.start();
        this.signalProgram = new RelayProgram();
        await this.signalProgram.prepare([this.signalEngine]);
        await this.signalProgram.start();
    },
);

Given(
    "a relay program that is still reading its settings",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: SignalScenario) {
        this.signalProgram = new RelayProgram();
        await this.signalProgram.prepare([]);
        this.provideSettings = await this.signalProgram.startWaitingForSettings();
    },
);

When(
    /^(SIG[A-Z, ]+) follow each other (\d+) ms apart while (\d+) calls are at the server$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: SignalScenario, signals: string, apartMs: string, count: string) {
        const ids = Array.from({ length: Number(count) }, (unused, index) => `call-${index}`);
        this.signalCallers = await Promise.all(ids.map(() => RawCaller.connect(this.signalProgram.callerAddress)));
        for (const [index, caller] of this.signalCallers.entries()) {
            caller.write(formatCall(ids[index] ?? "", "/unsafe/x"));
        }
        await waitFor("the server has the calls", () => this.signalEngine.receivedCalls.length === ids.length);
        await sendSignals(this.signalProgram, signals, Number(apartMs));
        this.signalAnswers = await Promise.all(this.signalCallers.map(caller => caller.readAnswers(1)));
    },
);

When(
    /^it receives (SIG[A-Z, ]+) and can read its settings$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: SignalScenario, signals: string) {
        await sendSignals(this.signalProgram, signals, DELIVERY_MS);
        await this.provideSettings();
    },
);

Then(
    "all {int} calls are answered, and the program exits with code {int}",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: SignalScenario, count: number, code: number) {
        const statuses = this.signalAnswers.map(([answer]) => answer?.isComplete ? answer.status : 0);
        assert.deepEqual(statuses, Array.from({ length: count }, () => 200));
        assert.equal(await this.signalProgram.awaitExit(), code);
    },
);

Then("it gets ready", { timeout: STEP_TIMEOUT_MS }, async function(this: SignalScenario) {
    const end = this.signalProgram.awaitExit().then(code => `exited with code ${code}`);
    assert.equal(await Promise.race([end, this.signalProgram.awaitReady()]), undefined);
});

Then("it exits with code {int}", { timeout: STEP_TIMEOUT_MS }, async function(this: SignalScenario, code: number) {
    assert.equal(await this.signalProgram.awaitExit(), code);
});

async function sendSignals(program: RelayProgram, signals: string, apartMs: number): Promise<void> {
    for (const name of signals.split(", ")) {
        program.signal(name as NodeJS.Signals);
        await new Promise(resolve => setTimeout(resolve, apartMs));
    }
}
