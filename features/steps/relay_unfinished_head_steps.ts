/**
 * Steps about calls of a relay node program in front of a head that does not come to its end.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setTimeout as pause } from "node:timers/promises";
import { EngineServer } from "../../platform/standin/engine_server.js";
import { formatCall, type RawAnswer, RawCaller } from "../support/raw_caller.js";
import { PATH_BY_CALL_KIND, waitFor } from "../support/relay_fixture.js";
import { RelayProgram } from "../support/relay_program.js";
import type { Scenario } from "../support/world.js";

/** Time limit of steps that start the program or wait for answers, in milliseconds. */
const STEP_TIMEOUT_MS = 20_000;

/** Time within which the program reads what is sent to it, in milliseconds. */
const DELIVERY_MS = 50;

/** Id of the call that is complete. */
const CALL_ID = "whole-call";

/** Bytes that do not become a call. */
const UNFINISHED: Readonly<Record<string, string>> = {
    "a part of a head": formatCall("unfinished-call", "/unsafe/x").slice(0, 40),
    "a single byte": "P",
};

/** End of a body in chunks, by the form of a call. */
const LAST_CHUNKS: Readonly<Record<string, string>> = {
    "in chunks": "0\r\n\r\n",
    "in chunks with a trailer": "0\r\nX-Trailer: 1\r\n\r\n",
};

/** State of a scenario of this file. */
interface UnfinishedHeadScenario extends Scenario {
    headProgram: RelayProgram;
    headServer: EngineServer;
    headCaller: RawCaller;
    headAnswers: readonly RawAnswer[];
}

After({ timeout: STEP_TIMEOUT_MS }, async function(this: UnfinishedHeadScenario) {
    this.headCaller?.close();
    await this.headProgram?.stop();
    this.headServer?.close();
});

Given(
    "a relay program with a header limit of {int} ms before a server that takes {int} ms",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: UnfinishedHeadScenario, headerTimeoutMs: number, processingMs: number) {
        this.headServer = new EngineServer("engine-1");
        this.headServer.processingMs = processingMs;
        await this.headServer.start();
        this.headProgram = new RelayProgram();
        await this.headProgram.prepare([this.headServer], {}, { headerTimeoutMs });
        await this.headProgram.start();
    },
);

When(
    /^an? "(\w+)" call (.+) and (a part of a head|a single byte) are written to the program, which (.+)$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: UnfinishedHeadScenario, kind: string, form: string, bytes: string, event: string) {
        this.headServer.isStream = kind === "stream";
        this.headCaller = await RawCaller.connect(this.headProgram.callerAddress);
        this.headCaller.write(format(kind, form) + (UNFINISHED[bytes] ?? assert.fail(`unknown bytes: ${bytes}`)));
        await waitFor("the server has the call", () => this.headServer.receivedCalls.length === 1);
        await pause(DELIVERY_MS);
        await act(this.headProgram, event);
        this.headAnswers = await this.headCaller.readAnswers(2);
    },
);

Then(
    "the call gets the answer of the server, which received it once, and the bytes behind it get {int}",
    function(this: UnfinishedHeadScenario, status: number) {
        const seen = this.headAnswers.map(answer => [answer.status, answer.isComplete, answer.headers.get("request-id")]);
        assert.deepEqual(seen, [[200, true, CALL_ID], [status, true, undefined]]);
        assert.deepEqual(this.headServer.receivedCalls.map(({ headers }) => headers.get("request-id")), [CALL_ID]);
    },
);

function format(kind: string, form: string): string {
    const call = formatCall(CALL_ID, PATH_BY_CALL_KIND[kind] ?? "");
    if (form === "with a length") {
        return call;
    }
    const lastChunk = LAST_CHUNKS[form] ?? assert.fail(`unknown form: ${form}`);
    return call.replace(/Content-Length: \d+/, "Transfer-Encoding: chunked").replace(/body$/, `4\r\nbody\r\n${lastChunk}`);
}

/** Lets happen to the program what a scenario says. */
async function act(program: RelayProgram, event: string): Promise<void> {
    const ms = Number(/(\d+) ms$/.exec(event)?.[1] ?? 0);
    if (event.startsWith("is held up")) {
        program.holdUp(ms);
    }
    else if (event.startsWith("stands still")) {
        program.signal("SIGSTOP");
        await pause(ms);
        program.signal("SIGCONT");
    }
    else if (event.startsWith("gets a header limit")) {
        program.configure(2, { headerTimeoutMs: ms });
    }
    else {
        assert.equal(event, "is not held up");
    }
}
