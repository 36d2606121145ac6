/**
 * Steps about the ends of a relayed call, end to end on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { EngineBehaviour, EngineServer, formatEvent, PLAIN_BODY, STREAM_EVENTS } from "../../platform/standin/engine_server.js";
import { NodeFaults } from "../support/node_faults.js";
import { type CallerAnswer, makeConfiguration, PATH_BY_CALL_KIND, RelayFixture, waitFor } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Places of the server. */
const PLACES = 4;

/** Time that a call takes whose server answers, in milliseconds. */
const SHORT_WORK_MS = 700;

/** Time that a call takes whose server does not answer before its end, in milliseconds; longer than the grace period of the node. */
const LONG_WORK_MS = 4_000;

/** Default deadline of a call, in milliseconds. */
const DEADLINE_MS = 5_000;

/** Deadline of a call whose time ends, in milliseconds. */
const SHORT_DEADLINE_MS = 500;

/** Time for the node to act on what happened before, in milliseconds. */
const SETTLE_MS = 150;

/** How a call meets an event. */
interface ExitEvent {
    /** Time that the server works on calls, in milliseconds. */
    readonly workMs: number;
    readonly deadlineMs?: number;
    /** Causes the event once the call is at its stage. */
    readonly cause?: (scenario: ExitScenario) => Promise<void> | void;
}

/** State of a scenario of this file. */
interface ExitScenario extends Scenario {
    relay: RelayFixture;
    engine: EngineServer;
    faults: NodeFaults;
    callKind: string;
    stage: string;
    exitAnswer: CallerAnswer;
    socket: Socket;
    drainMs: number;
}

/** Version of the configuration that changes something. */
const CHANGED_VERSION = 1_000;

/** Writes a configuration with other fields. */
function reconfigure({ relay }: ExitScenario, changes: Readonly<Record<string, unknown>>): void {
    const configuration = makeConfiguration(CHANGED_VERSION, ["key-1"]) as Readonly<Record<string, unknown>>;
    relay.store.put("keyed.op", "config", { ...configuration, ...changes });
}

const EVENTS: Readonly<Record<string, ExitEvent>> = {
    "a place becomes free": { workMs: SHORT_WORK_MS },
    "its server answers": { workMs: SHORT_WORK_MS },
    "its route and key are withdrawn": {
        workMs: SHORT_WORK_MS,
        cause: scenario => reconfigure(scenario, { Routes: [], Tenants: [{ Name: "clinic", ApiKeys: ["another-key"] }] }),
    },
    "its service is removed": {
        workMs: SHORT_WORK_MS,
        cause: scenario => {
            reconfigure(scenario, { Routes: [], Services: [] });
            scenario.relay.store.put("keyed.servers", scenario.engine.id, undefined);
        },
    },
    "the entry of its server is gone": {
        workMs: SHORT_WORK_MS,
        cause: ({ relay, engine }) => relay.store.put("keyed.servers", engine.id, undefined),
    },
    "the limits of callers change": {
        workMs: SHORT_WORK_MS,
        cause: scenario =>
            reconfigure(scenario, {
                Limits: { MaxHeaderBytes: 64, MaxBodyBytes: 1, HeaderTimeoutMs: 100, IdleTimeoutMs: 100 },
            }),
    },
    "its time is over": { workMs: LONG_WORK_MS, deadlineMs: SHORT_DEADLINE_MS },
    "its server closes the connection": { workMs: LONG_WORK_MS, cause: ({ engine }) => engine.closeConnections() },
    "the node fails to send it": { workMs: SHORT_WORK_MS, cause: ({ faults }) => faults.failSending() },
    "the node fails to read its answer": { workMs: SHORT_WORK_MS, cause: ({ faults }) => faults.failReading() },
    "the node stops": { workMs: LONG_WORK_MS, cause: ({ relay }) => relay.node.drain() },
};

After(async function(this: ExitScenario) {
    this.faults?.restore();
    this.socket?.destroy();
    await this.relay?.stop();
});

Given(/^a relay whose "(\w+)" call (.+)$/, async function(this: ExitScenario, kind: string, stage: string) {
    this.relay = new RelayFixture();
    this.engine = new EngineServer("engine-1");
    this.faults = new NodeFaults();
    this.callKind = kind;
    this.stage = stage;
    await this.relay.start([this.engine]);
});

async function settle(): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
}

/** Sends the call, and others that take all places if it is to wait. */
async function sendCall(
    { relay, engine, callKind, stage }: ExitScenario,
    { workMs, deadlineMs = DEADLINE_MS }: ExitEvent,
): Promise<{ readonly answered: Promise<CallerAnswer> }> {
    const path = PATH_BY_CALL_KIND[callKind] ?? "";
    engine.isStream = callKind === "stream";
    engine.processingMs = workMs;
    if (stage === "has begun its stream") {
        engine.behaviour = EngineBehaviour.StreamPauses;
        engine.processingMs = 0;
        engine.pauseMs = workMs;
    }
    const otherCalls = stage === "waits for a place" ? PLACES : 0;
    for (let call = 0; call < otherCalls; call += 1) {
        void relay.send({ path });
    }
    await waitFor("the places are taken", () => engine.receivedCalls.length === otherCalls);
    const answered = relay.send({ path, headers: { "Deadline-Ms": String(deadlineMs) } });
    if (otherCalls === 0) {
        await waitFor("the call is at its server", () => engine.receivedCalls.length > 0);
    }
    await settle();
    return { answered };
}

for (const [name, event] of Object.entries(EVENTS)) {
    When(name, async function(this: ExitScenario) {
        const { answered } = await sendCall(this, event);
        const caused = event.cause?.(this);
        this.exitAnswer = await answered;
        await caused;
    });
}

Then(/^the caller of this call gets (\d+), as it (has not|may have) run$/, function(
    this: ExitScenario,
    status: string,
    truth: string,
) {
    assert.equal(this.exitAnswer.status, Number(status), this.exitAnswer.body);
    assert(this.exitAnswer.isComplete);
    assert.equal(this.exitAnswer.headers["response-seal"], undefined);
    assert.match(this.exitAnswer.body, truth === "has not" ? /not run|has not run/i : /may have run/);
    const hasReached = this.engine.receivedCalls.some(call => call.headers.get("request-id") === this.exitAnswer.id);
    assert.equal(hasReached, truth === "may have");
});

Then("the caller of this call gets the server's whole answer", function(this: ExitScenario) {
    assert.equal(this.exitAnswer.status, 200, this.exitAnswer.body);
    assert.equal(this.exitAnswer.body, PLAIN_BODY);
    assert(this.exitAnswer.isComplete);
});

Then("the caller of this call gets all events, each once", function(this: ExitScenario) {
    const events = Array.from({ length: STREAM_EVENTS }, (unused, index) => formatEvent(index + 1));
    assert.equal(this.exitAnswer.body, events.join(""));
    assert(this.exitAnswer.isComplete);
});

Then("the caller of this call gets an aborted stream", function(this: ExitScenario) {
    assert.equal(this.exitAnswer.status, 200);
    assert.equal(this.exitAnswer.body, formatEvent(1));
    assert.equal(this.exitAnswer.isComplete, false);
});

When("the time of the unread stream is over and the node is drained", async function(this: ExitScenario) {
    this.engine.behaviour = EngineBehaviour.EndlessEvents;
    this.socket = await sendRaw(this, `${formatCall("/stream/x")}Deadline-Ms: ${SHORT_DEADLINE_MS}\r\n\r\n`);
    this.socket.pause();
    await new Promise(resolve => setTimeout(resolve, 2 * SHORT_DEADLINE_MS));
    const startedMs = performance.now();
    await this.relay.node.drain();
    this.drainMs = performance.now() - startedMs;
});

Then("the drain ends within {int} ms", function(this: ExitScenario, limitMs: number) {
    assert(this.engine.receivedCalls.length > 0);
    assert(this.drainMs < limitMs, `it took ${this.drainMs} ms`);
});

When("its caller resets the connection", async function(this: ExitScenario) {
    this.engine.processingMs = SHORT_WORK_MS;
    const tunnel = "CONNECT app.example:80 HTTP/1.1\r\nHost: app.example\r\n\r\n";
    this.socket = await sendRaw(this, `${formatCall("/unsafe/x")}\r\n${tunnel}`);
    await waitFor("the call is at its server", () => this.engine.receivedCalls.length > 0);
    await settle();
    this.socket.resetAndDestroy();
    await settle();
});

Then("the node still answers calls", async function(this: ExitScenario) {
    const answer = await this.relay.send({ path: "/safe/x" });
    assert.equal(answer.status, 200);
});

/** Formats the head of a call without a body and without the empty line at its end. */
function formatCall(path: string): string {
    return `POST ${path} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: raw-call\r\nApi-Key: key-1\r\nContent-Length: 0\r\n`;
}

async function sendRaw({ relay }: ExitScenario, text: string): Promise<Socket> {
    const [host, port] = relay.node.callerAddress.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.on("error", () => undefined);
    await new Promise(resolve => socket.once("connect", resolve));
    socket.write(text);
    return socket;
}
