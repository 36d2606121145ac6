/**
 * Steps about the planned stop of a relay node, end to end on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { EngineBehaviour, EngineServer } from "../../platform/standin/engine_server.js";
import type { StoreServer } from "../../platform/standin/store_server.js";
import { DetourCall } from "../../src/protocol/relay/mod.js";
import { DETOUR_PATH } from "../../src/transport/relay/mod.js";
import { formatCall, type RawAnswer, RawCaller } from "../support/raw_caller.js";
import { PATH_BY_CALL_KIND, RelayFixture, waitFor } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Time limit of steps that last as long as a drain or a header timeout, in milliseconds. */
const STEP_TIMEOUT_MS = 15_000;

/** Calls with which the node measures its servers. */
const MEASURED_CALLS = 6;

/** Time that the measured calls take, which later ones take as well, in milliseconds. */
const SLOT_CALL_MS = 300;

/** Slots of all stand-in servers. */
const ALL_SLOTS = 8;

/** Time before a drain at which a call that it meets is sent, in milliseconds. */
const LEAD_MS = 60;

/** Time before a slot gets free at which the call that waits for it arrives, in milliseconds; shorter than the longest wait. */
const WAIT_MS = 200;

/** Megabyte, in bytes. */
const MEGABYTE = 1_048_576;

/** Time for which connections with no call in progress may stay open, in milliseconds. */
const SETTLE_MS = 300;

/** Ports that refuse connections. They are outside the range from which listeners get a free port. */
const REFUSING_PORTS: readonly number[] = [1, 2];

const OVERSIZED_BODY = "x".repeat(30_000);
const OVERSIZED_HEADER = `Large-Header: ${"x".repeat(17_000)}`;

/** State of a scenario of this file. */
interface StopScenario extends Scenario {
    stopRelay: RelayFixture;
    peerRelay: RelayFixture | undefined;
    stopEngines: EngineServer[];
    stopKind: string;
    drained: Promise<void> | undefined;
    drainedAtMs: number;
    drainEndedAtMs: number;
    rawCallers: RawCaller[];
    stopAnswers: readonly RawAnswer[];
    answeredAtMs: number;
}

After({ timeout: STEP_TIMEOUT_MS }, async function(this: StopScenario) {
    for (const caller of this.rawCallers ?? []) {
        caller.close();
    }
    for (const engine of this.stopEngines ?? []) {
        engine.close();
    }
    await this.drained;
    await this.stopRelay?.stop();
    await this.peerRelay?.stop();
});

Given(
    "a relay in whose service {string} calls take {int} ms",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: StopScenario, kind: string, processingMs: number) {
        prepare(this, kind, processingMs);
        this.stopRelay = new RelayFixture();
        await this.stopRelay.start(this.stopEngines);
        await measureServers(this.stopRelay, kind);
        forgetCalls(this);
    },
);

Given(
    "two relay nodes of which the first reaches no server, and {string} calls that take {int} ms",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: StopScenario, kind: string, processingMs: number) {
        prepare(this, kind, processingMs);
        const peer = new RelayFixture("entry-2");
        this.peerRelay = peer;
        await peer.start(this.stopEngines);
        this.stopRelay = new RelayFixture("entry-1");
        await this.stopRelay.start([], false, store => putUnreachable(store, this.stopEngines, peer.node.peerAddress));
        const nodes = [peer.node, this.stopRelay.node];
        await waitFor("the nodes know each other", () => nodes.every(node => node.reachablePeers > 0));
        await measureServers(peer, kind);
        await measureServers(this.stopRelay, kind);
        forgetCalls(this);
    },
);

function prepare(scenario: StopScenario, kind: string, processingMs: number): void {
    scenario.rawCallers = [];
    scenario.stopKind = kind;
    scenario.stopEngines = ["engine-1", "engine-2"].map(id => {
        const engine = new EngineServer(id);
        engine.isStream = kind === "stream";
        engine.processingMs = processingMs;
        return engine;
    });
}

function putUnreachable(store: StoreServer, engines: readonly EngineServer[], peerAddress: string): void {
    for (const [index, engine] of engines.entries()) {
        const address = `127.0.0.1:${REFUSING_PORTS[index]}`;
        store.put("keyed.servers", engine.id, engine.serverEntry("service", { Address: address }));
    }
    store.put("keyed.nodes", "entry-2", { address: peerAddress, failureDomain: "zone-a", cores: 1 });
}

async function measureServers(relay: RelayFixture, kind: string): Promise<void> {
    await Promise.all(Array.from({ length: MEASURED_CALLS }, () => relay.send({ path: PATH_BY_CALL_KIND[kind] ?? "" })));
}

function forgetCalls({ stopEngines }: StopScenario): void {
    for (const engine of stopEngines) {
        engine.receivedCalls.length = 0;
    }
}

Given("answers of {int} MB", function(this: StopScenario, megabytes: number) {
    for (const engine of this.stopEngines) {
        engine.answerBody = "x".repeat(megabytes * MEGABYTE);
    }
});

When(
    /^the node is drained while a "(\w+)" call (ends its body|comes behind another call|gets a slot|comes on a new connection|fails at its first server) (\d+) ms later$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: StopScenario, kind: string, lateness: string, delayMs: string) {
        await sendLateCall(this, formatCall("late", PATH_BY_CALL_KIND[kind] ?? ""), lateness, Number(delayMs));
        await finishDrain(this);
    },
);

When(
    "the node is drained while a {string} call never ends its body",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: StopScenario, kind: string) {
        const caller = await openCaller(this);
        caller.write(formatCall("late", PATH_BY_CALL_KIND[kind] ?? "").slice(0, -2));
        await pause(LEAD_MS);
        startDrain(this, this.stopRelay);
        await readAnswers(this, caller, 1);
        await finishDrain(this);
    },
);

/** Sends a call that can be passed on only some time after the beginning of the drain, and waits for its answer. */
async function sendLateCall(scenario: StopScenario, text: string, lateness: string, delayMs: number): Promise<void> {
    const { stopEngines, stopRelay } = scenario;
    switch (lateness) {
        case "ends its body": {
            const caller = await openCaller(scenario);
            caller.write(text.slice(0, -2));
            await pause(LEAD_MS);
            startDrain(scenario, stopRelay);
            await pause(delayMs);
            caller.write(text.slice(-2));
            await readAnswers(scenario, caller, 1);
            return;
        }
        case "comes behind another call": {
            const caller = await openCaller(scenario);
            setProcessing(stopEngines, delayMs + 2 * LEAD_MS);
            caller.write(formatCall("first", PATH_BY_CALL_KIND[scenario.stopKind] ?? ""));
            await pause(LEAD_MS);
            startDrain(scenario, stopRelay);
            setProcessing(stopEngines, SLOT_CALL_MS);
            await pause(delayMs);
            caller.write(text);
            await readAnswers(scenario, caller, 2);
            const [first, ...others] = scenario.stopAnswers;
            assert.equal(first?.status, 200);
            scenario.stopAnswers = others;
            return;
        }
        case "gets a slot": {
            const caller = await openCaller(scenario);
            setProcessing(stopEngines, delayMs + LEAD_MS);
            for (let call = 0; call < ALL_SLOTS; call += 1) {
                void stopRelay.send({ path: PATH_BY_CALL_KIND[scenario.stopKind] ?? "" });
            }
            caller.write(text.slice(0, -2));
            await pause(LEAD_MS);
            startDrain(scenario, stopRelay);
            setProcessing(stopEngines, SLOT_CALL_MS);
            await pause(delayMs - WAIT_MS);
            caller.write(text.slice(-2));
            await readAnswers(scenario, caller, 1);
            return;
        }
        case "comes on a new connection": {
            startDrain(scenario, stopRelay);
            await pause(delayMs);
            const caller = await openCaller(scenario);
            caller.write(text);
            await readAnswers(scenario, caller, 1);
            return;
        }
        case "fails at its first server": {
            const caller = await openCaller(scenario);
            setProcessing(stopEngines, delayMs + LEAD_MS);
            setBehaviour(stopEngines, EngineBehaviour.ResetsAfterRun);
            caller.write(text);
            await waitFor("a server has the call", () => countReceived(scenario, "late") > 0);
            const others = stopEngines.filter(engine => engine.receivedCalls.length === 0);
            setProcessing(others, SLOT_CALL_MS);
            setBehaviour(others, EngineBehaviour.Healthy);
            await pause(LEAD_MS);
            startDrain(scenario, stopRelay);
            await readAnswers(scenario, caller, 1);
            return;
        }
        default:
            throw new Error(`Cannot send a call that ${lateness}: it is unknown`);
    }
}

When(
    "the {word} node is drained while a {string} call is handed on {int} ms later",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: StopScenario, which: string, kind: string, delayMs: number) {
        if (which === "first") {
            await sendLateCall(this, formatCall("late", PATH_BY_CALL_KIND[kind] ?? ""), "ends its body", delayMs);
            await finishDrain(this);
            return;
        }
        const peer = this.peerRelay;
        assert(peer !== undefined);
        const message = formatDetour("late", kind);
        const caller = await openCaller(this, peer.node.peerAddress);
        caller.write(`POST ${DETOUR_PATH} HTTP/1.1\r\nHost: peer\r\nContent-Length: ${message.length}\r\n\r\n`);
        caller.write(message.subarray(0, -2));
        await pause(LEAD_MS);
        startDrain(this, peer);
        await pause(delayMs);
        caller.write(message.subarray(-2));
        await readAnswers(this, caller, 1);
        await finishDrain(this);
    },
);

When(
    /^the node is drained while a "(\w+)" call is at a server that (.*)$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: StopScenario, kind: string, fault: string) {
        await drainWithOpenCall(this, this.stopRelay, kind, fault);
    },
);

When(
    /^the (first|second) node is drained while a "(\w+)" call of the first one is at a server that (.*)$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: StopScenario, which: string, kind: string, fault: string) {
        assert(this.peerRelay !== undefined);
        await drainWithOpenCall(this, which === "first" ? this.stopRelay : this.peerRelay, kind, fault);
    },
);

async function drainWithOpenCall(scenario: StopScenario, drained: RelayFixture, kind: string, fault: string): Promise<void> {
    setBehaviour(scenario.stopEngines, fault as EngineBehaviour);
    const caller = await openCaller(scenario);
    caller.write(formatCall("open", PATH_BY_CALL_KIND[kind] ?? ""));
    await waitFor("a server has the call", () => countReceived(scenario, "open") > 0);
    startDrain(scenario, drained);
    await readAnswers(scenario, caller, 1);
    await finishDrain(scenario);
}

When(
    /^(.*) are written at once, and the node is drained (\d+) ms (later|before)$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: StopScenario, calls: string, delayMs: string, order: string) {
        const caller = await openCaller(this);
        const text = formatCalls(calls);
        if (order === "before") {
            startDrain(this, this.stopRelay);
            await pause(Number(delayMs));
            caller.write(text);
        }
        else {
            caller.write(text);
            await pause(Number(delayMs));
            startDrain(this, this.stopRelay);
        }
        await caller.awaitClose();
        await readAnswers(this, caller, 0);
        await finishDrain(this);
    },
);

When(
    /^((?:(?!node is drained).)*) (?:are|is) written at once$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: StopScenario, calls: string) {
        const caller = await openCaller(this);
        caller.write(formatCalls(calls));
        await readAnswers(this, caller, calls.split(", ").length);
        // A connection that stays open is closed by the drain.
        startDrain(this, this.stopRelay);
        await caller.awaitClose();
        await readAnswers(this, caller, 0);
        await finishDrain(this);
    },
);

When(
    "a caller of {int} pipelined {string} calls begins to read only {int} ms after the node was drained",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: StopScenario, count: number, kind: string, delayMs: number) {
        const caller = await openCaller(this);
        caller.pause();
        caller.write(formatCalls(`${count} ${kind} calls`));
        await pause(SETTLE_MS);
        startDrain(this, this.stopRelay);
        await pause(delayMs);
        caller.resume();
        await caller.awaitClose();
        await readAnswers(this, caller, 0);
        await finishDrain(this);
    },
);

When(
    "a caller of {int} pipelined {string} calls disconnects after {int} ms",
    async function(this: StopScenario, count: number, kind: string, delayMs: number) {
        const caller = await openCaller(this);
        caller.write(formatCalls(`${count} ${kind} calls`));
        await pause(delayMs);
        assert.equal(this.stopEngines.reduce((sum, engine) => sum + engine.receivedCalls.length, 0), count);
        caller.close();
    },
);

Then(
    "the servers' {int} connections end within {int} ms",
    async function(this: StopScenario, count: number, limitMs: number) {
        const countEnded = () => this.stopEngines.reduce((sum, engine) => sum + engine.abandonedCalls, 0);
        await waitFor("the connections end", () => countEnded() === count, limitMs);
    },
);

When(
    "the node is drained while {int} connections are idle",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: StopScenario, count: number) {
        for (let index = 0; index < count; index += 1) {
            const caller = await openCaller(this);
            caller.write(formatCall(`idle-${index}`, PATH_BY_CALL_KIND["unsafe"] ?? ""));
            const [answer] = await caller.readAnswers(1);
            assert.equal(answer?.status, 200);
        }
        startDrain(this, this.stopRelay);
        await Promise.all(this.rawCallers.map(caller => caller.awaitClose()));
        await finishDrain(this);
    },
);

Then(
    "the drain has ended within {int} ms, and all connections are closed",
    function(this: StopScenario, limitMs: number) {
        const tookMs = this.drainEndedAtMs - this.drainedAtMs;
        assert(tookMs <= limitMs, `it took ${tookMs} ms`);
    },
);

Then(
    "the caller gets status {int} and reaches a server {int} times",
    function(this: StopScenario, status: number, times: number) {
        const [answer] = this.stopAnswers;
        assert(answer?.isComplete, `the call was cut: ${JSON.stringify(this.stopAnswers)}`);
        assert.equal(answer.status, status, answer.body);
        assert.equal(countReceived(this, "late"), times);
        if (status === 503) {
            assert(Number(answer.headers.get("retry-after")) <= 0.1, `Retry-After: ${answer.headers.get("retry-after")}`);
        }
    },
);

Then(/^its caller gets status (\d+) within (\d+) ms$/, function(this: StopScenario, status: string, limitMs: string) {
    const [answer] = this.stopAnswers;
    assert(answer?.isComplete, `the call was cut: ${JSON.stringify(this.stopAnswers).slice(0, 500)}`);
    assert.equal(answer.status, Number(status));
    assert(this.answeredAtMs - this.drainedAtMs < Number(limitMs), `it took ${this.answeredAtMs - this.drainedAtMs} ms`);
});

Then(/^its caller gets an aborted stream within (\d+) ms$/, function(this: StopScenario, limitMs: string) {
    const [answer] = this.stopAnswers;
    assert.equal(answer?.status, 200);
    assert(!answer.isComplete);
    assert(this.answeredAtMs - this.drainedAtMs < Number(limitMs), `it took ${this.answeredAtMs - this.drainedAtMs} ms`);
});

Then(
    /^the caller gets the statuses ([\d ]+) in order, and then a closed connection$/,
    function(this: StopScenario, statuses: string) {
        const seen = this.stopAnswers.map(({ status, isComplete }) => isComplete ? String(status) : `${status} cut`);
        assert.equal(seen.join(" "), statuses);
        const closing = this.stopAnswers.map(({ headers }) => headers.get("connection") === "close");
        assert(!closing.slice(0, -1).includes(true), "an answer in front of another closes the connection");
        const runs = this.stopEngines.reduce((sum, engine) => sum + engine.receivedCalls.length, 0);
        assert.equal(runs, seen.filter(status => status === "200").length);
    },
);

/** Formats calls that are written one after the other, such as "2 safe calls, half of a head". */
function formatCalls(list: string): string {
    return list.split(", ").map((text, index) => formatCallsOf(text, index)).join("");
}

function formatCallsOf(text: string, index: number): string {
    const id = `pipelined-${index}`;
    const path = PATH_BY_CALL_KIND["unsafe"] ?? "";
    switch (text) {
        case "a call without an id":
            return formatCall(id, path).replace(/Request-Id: .*\r\n/, "");
        case "a call with too large a head":
            return formatCall(id, path, "body", [OVERSIZED_HEADER]);
        case "a call with too large a body":
            return formatCall(id, path, OVERSIZED_BODY);
        case "a call with a malformed body":
            return formatCall(id, path, "", ["Transfer-Encoding: chunked"]).replace(/Content-Length: .*\r\n/, "") +
                "no chunk\r\n";
        case "an unsafe call that closes":
            return formatCall(id, path, "body", ["Connection: close"]);
        case "a call that asks for a tunnel":
            return formatCall(id, "app.example:80", "").replace("POST", "CONNECT");
        case "a call that asks for an upgrade":
            return formatCall(id, path, "body", ["Connection: Upgrade", "Upgrade: other"]);
        case "bytes that are no call":
            return "no call\r\n\r\n";
        case "half of a head":
            return formatCall(id, path).slice(0, 40);
        default: {
            const [, count, kind] = /^(an?|\d+) (\w+) calls?$/.exec(text) ?? [];
            assert(kind !== undefined, `unknown calls: ${text}`);
            const calls = Array.from({ length: Number(count) || 1 }, (unused, call) => {
                return formatCall(`${id}-${call}`, PATH_BY_CALL_KIND[kind] ?? "");
            });
            return calls.join("");
        }
    }
}

/** Encodes a call as a node hands it to a peer. */
function formatDetour(id: string, kind: string): Buffer {
    const message = DetourCall.encode({
        headers: ["Host", "app.example", "Request-Id", id],
        method: "POST",
        target: PATH_BY_CALL_KIND[kind] ?? "",
        body: Buffer.from("body"),
        lastEventId: "",
        service: "service",
        route: {
            name: kind,
            isRepeatable: kind === "safe",
            isStream: kind === "stream",
            isResumable: false,
            timeoutMs: 5_000,
            objectiveMs: 500,
            rank: 0,
            maxAttempts: 1,
        },
        workspace: "clinic",
        workspaceRank: 0,
        elapsedMs: 0,
        deadlineMs: 5_000,
        firstAttemptDeadlineMs: 5_000,
        configurationVersion: 1,
        homeRegions: [],
        confinedRoute: undefined,
    });
    return Buffer.from(message.finish());
}

async function openCaller(scenario: StopScenario, address = scenario.stopRelay.node.callerAddress): Promise<RawCaller> {
    const caller = await RawCaller.connect(address);
    scenario.rawCallers.push(caller);
    return caller;
}

function startDrain(scenario: StopScenario, relay: RelayFixture): void {
    scenario.drainedAtMs = performance.now();
    scenario.drained = relay.node.drain().then(() => {
        scenario.drainEndedAtMs = performance.now();
    });
}

async function finishDrain(scenario: StopScenario): Promise<void> {
    await scenario.drained;
}

async function readAnswers(scenario: StopScenario, caller: RawCaller, count: number): Promise<void> {
    scenario.stopAnswers = await caller.readAnswers(count);
    scenario.answeredAtMs = performance.now();
}

function countReceived({ stopEngines }: StopScenario, id: string): number {
    const calls = stopEngines.flatMap(engine => engine.receivedCalls);
    return calls.filter(({ headers }) => headers.get("request-id") === id).length;
}

function setProcessing(engines: readonly EngineServer[], processingMs: number): void {
    for (const engine of engines) {
        engine.processingMs = processingMs;
    }
}

function setBehaviour(engines: readonly EngineServer[], behaviour: EngineBehaviour): void {
    for (const engine of engines) {
        engine.behaviour = behaviour;
    }
}

function pause(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}
