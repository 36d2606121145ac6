/**
 * Steps about the turns of paced connections, without connections.
 *
 * @module
 */

import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { IncomingMessage } from "node:http";
import { Socket } from "node:net";
import { BodyCollector } from "../../src/transport/body_collector.js";
import { InputLimits } from "../../src/transport/input_limits.js";
import { PacedInput } from "../../src/transport/read_pacer.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Time for which turns are observed, in milliseconds. */
const OBSERVED_MS = 100;

/** Pieces a millisecond at the default rate. */
const PIECES_PER_MS = 100;

/** Pieces after which a count ends. */
const FIRST_PIECES = 600;

/** Connections by their names in the feature. */
const NAMES = ["the first", "the second", "the third"];

/** State of a scenario of this file. */
interface PacerScenario extends Scenario {
    inputs: RecordedInput[];
    bodySocket: Socket;
}

/** Input that records when it is read on. */
class RecordedInput extends PacedInput {
    resumedAfterMs: number | undefined;
    private pausedAtMs = 0;

    protected override pause(): void {
        this.pausedAtMs = this.pacer.now();
    }

    protected override resume(): void {
        this.resumedAfterMs = this.pacer.now() - this.pausedAtMs;
    }
}

When(/^three connections bring (\d+) pieces each and (.+)$/, async function(this: PacerScenario, pieces: string, gone: string) {
    const clock = new VirtualClock();
    const { pacer } = new InputLimits(clock);
    this.inputs = NAMES.map(() => new RecordedInput(pacer));
    for (const input of this.inputs) {
        input.record(Number(pieces));
    }
    this.inputs[NAMES.indexOf(gone.replace(" has gone", ""))]?.close();
    await pass(clock, OBSERVED_MS);
});

Then(/^they are read on after (\w+), (\w+) and (\w+) ms$/, function(
    this: PacerScenario,
    first: string,
    second: string,
    third: string,
) {
    const times = this.inputs.map(input => input.resumedAfterMs?.toFixed(0) ?? "never");
    assert.deepEqual(times, [first, second, third]);
});

When(
    "a body of at most {int} bytes brings {int} pieces in each of {int} turns, behind another that takes {int} ms",
    async function(this: PacerScenario, maxBytes: number, pieces: number, turns: number, waitMs: number) {
        const clock = new VirtualClock();
        const inputLimits = new InputLimits(clock);
        this.bodySocket = new Socket();
        const request = new IncomingMessage(this.bodySocket);
        const body = new BodyCollector(request, { inputLimits, maxBytes });
        const other = new RecordedInput(inputLimits.pacer);
        for (let turn = 0; turn < turns && !this.bodySocket.destroyed; turn += 1) {
            // The first pieces after a pause begin a new count.
            other.record(FIRST_PIECES);
            other.record(waitMs * PIECES_PER_MS);
            for (let piece = 0; piece < pieces; piece += 1) {
                request.emit("data", Buffer.alloc(1));
            }
            await pass(clock, waitMs + OBSERVED_MS);
        }
        body.release();
    },
);

Then(/^the connection of the body is (open|closed)$/, function(this: PacerScenario, state: string) {
    assert.equal(this.bodySocket.destroyed, state === "closed");
});

/** Lets time pass in steps of a millisecond, with a pass of the event loop in each. */
async function pass(clock: VirtualClock, durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 1) {
        await new Promise(resolve => setImmediate(resolve));
        await clock.advance(1);
    }
}
