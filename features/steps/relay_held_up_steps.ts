/**
 * Steps about connections of callers to a relay node whose event loop is held up.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { PlatformHeaders } from "../../platform/mod.js";
import { type AnswerWriter, CallHandler, type IncomingCall } from "../../src/protocol/mod.js";
import { type CallerLimits, SystemClock } from "../../src/state/relay/mod.js";
import { HttpServer } from "../../src/transport/mod.js";
import { CallerServer, DetourServer, type HttpRelayAnswer, StatusServer } from "../../src/transport/relay/mod.js";
import { holdUp } from "../support/busy_node.js";
import { formatCall, RawCaller } from "../support/raw_caller.js";
import type { Scenario } from "../support/world.js";

/** Time for which a node is held up before bytes are written to it, so that none of its timers runs right before, in milliseconds. */
const LEAD_MS = 30;

/** Time after the hold-up until the last part of what callers write follows, in milliseconds. */
const AFTERWARDS_MS = 200;

/** Time limit of the step that waits for connections to be closed, in milliseconds. */
const CLOSE_TIMEOUT_MS = 10_000;

/** Time within which callers of an entry VM must send the headers, and the complete call, in milliseconds. */
const ENTRY_TIMEOUT_MS = 400;

/** Path of calls whose answers begin at once and end when the test says so. */
const LONG_PATH = "/long";

const CALL = formatCall("call-1", "/short");
const EMPTY_CALL = formatCall("call-1", "/short", "");
const HALF_HEAD_BYTES = 40;
const HALF_HEAD = CALL.slice(0, HALF_HEAD_BYTES);
const HEAD_REST = CALL.slice(HALF_HEAD_BYTES);
const HALF_BODY = CALL.slice(0, -2);

/** What a caller writes before the hold-up, within it, and after it. */
interface Script {
    readonly before: string;
    readonly meanwhile?: string;
    readonly afterwards?: string;
}

const SCRIPTS: Readonly<Record<string, Script>> = {
    "a call": { before: CALL },
    "two calls": { before: CALL + CALL },
    "half of a head": { before: HALF_HEAD },
    "half of a head, and the rest meanwhile": { before: HALF_HEAD, meanwhile: HEAD_REST },
    "half of a head, and the rest afterwards": { before: HALF_HEAD, afterwards: HEAD_REST },
    "half of a body, and the rest meanwhile": { before: HALF_BODY, meanwhile: CALL.slice(-2) },
    "half of a body, and the rest afterwards": { before: HALF_BODY, afterwards: CALL.slice(-2) },
    "one and a half calls": { before: CALL + HALF_HEAD },
    "one and a half calls, and the rest meanwhile": { before: CALL + HALF_HEAD, meanwhile: HEAD_REST },
    "half of a body": { before: HALF_BODY },
    "an empty call": { before: EMPTY_CALL },
    "the rest of the body": { before: CALL.slice(-2) },
    "the rest of the head and half a body": { before: CALL.slice(HALF_HEAD_BYTES, -2) },
    "the rest of the head": { before: HEAD_REST },
    "a part of the rest of the head": { before: HEAD_REST.slice(0, 10) },
};

/** What callers write before the test begins, and how many answers they then have. */
const CONNECTIONS: Readonly<Record<string, { readonly written: readonly string[]; readonly answers: number }>> = {
    "are new": { written: [], answers: 0 },
    "got an answer": { written: [CALL], answers: 1 },
    "await the end of an answer": { written: [formatCall("call-1", LONG_PATH)], answers: 0 },
    "got an answer to an empty call": { written: [EMPTY_CALL], answers: 1 },
    "sent half of a body": { written: [HALF_BODY], answers: 0 },
    "sent half of a head": { written: [HALF_HEAD], answers: 0 },
    "got an answer and sent half of a head": { written: [CALL, HALF_HEAD], answers: 1 },
    "got an answer and sent an empty line": { written: [CALL, "\r\n"], answers: 1 },
};

/** Answers each call. */
class DoneHandler extends CallHandler {
    override handle(call: IncomingCall, writer: AnswerWriter): Promise<void> {
        writer.writeComplete({ status: 200, contentType: "text/plain" }, Buffer.from("done"));
        return Promise.resolve();
    }
}

/** State of a scenario of this file. */
interface HeldUpScenario extends Scenario {
    heldUpServer: CallerServer;
    heldUpPort: number;
    closeServer: () => void;
    /** Makes the server drain and close its idle connections. */
    stopListening: () => void;
    idleCloses: number;
    callerLimits: CallerLimits;
    longAnswers: HttpRelayAnswer[];
    heldUpCallers: readonly RawCaller[];
    /** Number of answers that each caller had before the test began. */
    earlierAnswers: number;
    startMs: number;
}

After(function(this: HeldUpScenario) {
    for (const caller of this.heldUpCallers ?? []) {
        caller.close();
    }
    this.closeServer?.();
});

Given(
    "a caller server with an idle limit of {int} ms and a header limit of {int} ms",
    async function(this: HeldUpScenario, idleTimeoutMs: number, headerTimeoutMs: number) {
        this.longAnswers = [];
        this.idleCloses = 0;
        this.callerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs, idleTimeoutMs };
        this.heldUpServer = new CallerServer({
            clock: new SystemClock(),
            headers: new PlatformHeaders(),
            receive: async (call, answer) => {
                if (call.target === LONG_PATH) {
                    answer.start(200, ["content-length", "4"]);
                    this.longAnswers.push(answer);
                    return;
                }
                answer.sendComplete(200, [], Buffer.from("done"));
            },
            onError: error => assert.fail(String(error)),
            onCut: () => undefined,
            onListenerError: error => assert.fail(String(error)),
            onIdleClose: () => this.idleCloses += 1,
        });
        this.heldUpServer.setLimits(this.callerLimits);
        await this.heldUpServer.listen("127.0.0.1", 0);
        this.heldUpPort = this.heldUpServer.port;
        this.closeServer = () => this.heldUpServer.closeAll();
        this.stopListening = () => {
            this.heldUpServer.startDraining();
            void this.heldUpServer.stopListening();
        };
    },
);

Given("a server for metrics", async function(this: HeldUpScenario) {
    const page = { status: 200, contentType: "text/plain", text: "done" };
    const server = new StatusServer(new SystemClock(), new Map([["/short", () => page]]), error => assert.fail(String(error)));
    await server.listen("127.0.0.1", 0);
    this.heldUpPort = server.port;
    this.closeServer = () => server.close();
});

Given("a server for calls of peers", async function(this: HeldUpScenario) {
    const server = new DetourServer({
        clock: new SystemClock(),
        isNode: () => true,
        receive: (call, answer) => {
            answer.sendComplete(200, [], Buffer.from("done"));
            return undefined;
        },
        onListenerError: error => assert.fail(String(error)),
        onRejected: text => assert.fail(text),
    });
    await server.listen("127.0.0.1", 0);
    this.heldUpPort = server.port;
    this.closeServer = () => server.closeAll();
});

Given("the HTTP server of an entry VM", async function(this: HeldUpScenario) {
    const server = new HttpServer({
        clock: new SystemClock(),
        node: "entry-1",
        handler: new DoneHandler(),
        operationsPage: () => Promise.resolve(undefined),
        limits: { headersTimeoutMs: ENTRY_TIMEOUT_MS, bodyTimeoutMs: ENTRY_TIMEOUT_MS },
    });
    this.heldUpPort = await server.listen("127.0.0.1", 0);
    this.closeServer = () => server.close();
    this.stopListening = () => void server.stopAccepting();
});

Given(/^(\d+) connections that (.+)$/, async function(this: HeldUpScenario, count: string, connection: string) {
    const { written, answers } = CONNECTIONS[connection] ?? assert.fail(`unknown connection: ${connection}`);
    const address = `127.0.0.1:${this.heldUpPort}`;
    this.earlierAnswers = answers;
    this.startMs = performance.now();
    this.heldUpCallers = await Promise.all(Array.from({ length: Number(count) }, () => RawCaller.connect(address)));
    for (const [part, text] of written.entries()) {
        this.startMs = performance.now();
        for (const caller of this.heldUpCallers) {
            caller.write(text);
        }
        await Promise.all(this.heldUpCallers.map(caller => caller.readAnswers(Math.min(answers, part + 1))));
    }
});

When("the idle limit becomes {int} ms", function(this: HeldUpScenario, idleTimeoutMs: number) {
    this.heldUpServer.setLimits({ ...this.callerLimits, idleTimeoutMs });
});

When(
    /^each writes (.+) after (\d+) ms, and the node is held up for (\d+) ms$/,
    async function(this: HeldUpScenario, calls: string, afterMs: string, holdUpMs: string) {
        await writeInHoldUp(this, calls, { afterMs: Number(afterMs), holdUpMs: Number(holdUpMs) });
    },
);

When(
    /^each writes (.+) after (\d+) ms, the node is held up for (\d+) ms and then closes its idle connections$/,
    async function(this: HeldUpScenario, calls: string, afterMs: string, holdUpMs: string) {
        await writeInHoldUp(this, calls, { afterMs: Number(afterMs), holdUpMs: Number(holdUpMs) }, this.stopListening);
    },
);

When(
    /^each writes (.+) after (\d+) ms, the node is held up for (\d+) ms and then drains and ends its answers$/,
    async function(this: HeldUpScenario, calls: string, afterMs: string, holdUpMs: string) {
        const endAnswers = () => {
            this.heldUpServer.startDraining();
            for (const answer of this.longAnswers) {
                void answer.write(Buffer.from("long"));
                answer.end();
            }
        };
        await writeInHoldUp(this, calls, { afterMs: Number(afterMs), holdUpMs: Number(holdUpMs) }, endAnswers);
    },
);

Then(/^each gets ([\d ]+)$/, async function(this: HeldUpScenario, statuses: string) {
    const count = statuses.split(" ").length;
    const read = await readStatuses(this, count);
    assert.deepEqual(read, this.heldUpCallers.map(() => statuses));
});

Then(
    /^each gets (nothing|\d+) and is closed after (\d+) to (\d+) ms$/,
    { timeout: CLOSE_TIMEOUT_MS },
    async function(this: HeldUpScenario, status: string, least: string, most: string) {
        const closedAfterMs = await Promise.all(this.heldUpCallers.map(async caller => {
            await caller.awaitClose();
            return performance.now() - this.startMs;
        }));
        const read = await readStatuses(this, 1);
        assert.deepEqual(read, this.heldUpCallers.map(() => status === "nothing" ? "" : status));
        for (const durationMs of closedAfterMs) {
            assert.ok(durationMs >= Number(least) && durationMs <= Number(most), `closed after ${durationMs} ms`);
        }
    },
);

Then("{int} connections are counted as closed for idleness", function(this: HeldUpScenario, count: number) {
    assert.equal(this.idleCloses, count);
});

/** Reads the statuses of the answers since the test began. */
function readStatuses({ heldUpCallers, earlierAnswers }: HeldUpScenario, count: number): Promise<readonly string[]> {
    return Promise.all(heldUpCallers.map(async caller => {
        const answers = await caller.readAnswers(earlierAnswers + count);
        return answers.slice(earlierAnswers).map(answer => answer.isComplete ? answer.status : "cut").join(" ");
    }));
}

/**
 * Lets all callers write while the event loop is held up.
 *
 * @param action Called at the end of the hold-up.
 */
async function writeInHoldUp(
    { heldUpCallers, startMs }: HeldUpScenario,
    calls: string,
    { afterMs, holdUpMs }: { readonly afterMs: number; readonly holdUpMs: number },
    action: () => void = () => undefined,
): Promise<void> {
    const { before, meanwhile, afterwards } = SCRIPTS[calls] ?? assert.fail(`unknown calls: ${calls}`);
    const write = (text: string) => {
        for (const caller of heldUpCallers) {
            caller.write(text);
        }
    };
    const writeAtMs = startMs + afterMs;
    await sleep(writeAtMs - LEAD_MS - performance.now());
    holdUp(writeAtMs - performance.now());
    write(before);
    holdUp(writeAtMs + holdUpMs / 2 - performance.now());
    if (meanwhile !== undefined) {
        write(meanwhile);
    }
    holdUp(writeAtMs + holdUpMs - performance.now());
    action();
    if (afterwards !== undefined) {
        await sleep(AFTERWARDS_MS);
        write(afterwards);
    }
}

function sleep(durationMs: number): Promise<unknown> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
