/**
 * Steps about messages and records that another build of the relay node has written.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { request } from "node:http";
import { type AddressInfo, createServer, type Server } from "node:net";
import { PlatformRecords } from "../../platform/mod.js";
import { EngineServer, formatEvent, PLAIN_BODY, STREAM_EVENTS } from "../../platform/standin/engine_server.js";
import {
    MeshExchange,
    NodeDirectory,
    RolloutEvidence,
    RolloutLog,
    stateOf,
    TreeExchange,
    type VersionRollout,
} from "../../src/coordination/relay/mod.js";
import { EMPTY_REPORT, hashKey, type KeyedLog, PeerReport } from "../../src/protocol/relay/mod.js";
import { SeededRandom, VersionOrderState } from "../../src/state/relay/mod.js";
import { DETOUR_PATH } from "../../src/transport/relay/mod.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import {
    addUnknownFields,
    addUnknownHeaders,
    addUnknownKeys,
    readRecordedMessages,
    type RecordedMessage,
    type RecordedMessages,
} from "../support/recorded_messages.js";
import { type CallerAnswer, PATH_BY_CALL_KIND, RelayFixture, waitFor } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Fields of a report that hold messages. */
const NESTED_REPORT_FIELDS: ReadonlySet<number> = new Set([9, 17, 18, 19, 20, 21, 22, 23, 24]);

/** Fields of a handed call that hold messages. */
const NESTED_CALL_FIELDS: ReadonlySet<number> = new Set([7]);

/** Value of an enumeration that no build knows. */
const UNKNOWN_VALUE = 77;

/** Event after which the recorded resumed stream continues. */
const RESUMED_AFTER_EVENT = 3;

/** Time in which a report that is to be ignored would have been counted, in milliseconds. */
const IGNORED_MS = 200;

/** Id of the call that the recorded answers belong to. */
const RECORDED_CALL_ID = "call-1";

/** State of a scenario of this file. */
interface OtherBuildScenario extends Scenario {
    recorded: RecordedMessages;
    report: PeerReport;
    reportMeaning: RecordedMessage["meaning"];
    appliedReports: readonly PeerReport[];
    relay: RelayFixture | undefined;
    engine: EngineServer;
    peer: Server | undefined;
    /** Calls that the peer got. */
    handedCalls: number;
    callName: string;
    /** Answer to the node that handed a call over, or to a caller. */
    otherAnswer: Pick<CallerAnswer, "status" | "headers" | "body">;
    directory: NodeDirectory;
    rollout: VersionRollout;
    settledState: VersionOrderState | undefined;
}

After(async function(this: OtherBuildScenario) {
    await this.relay?.stop();
    this.peer?.close();
});

Given("the messages recorded from build {string}", async function(this: OtherBuildScenario, commit: string) {
    this.recorded = await readRecordedMessages(commit);
});

When(/^the "(\w+)" report is read (.*)$/, function(this: OtherBuildScenario, name: string, variant: string) {
    this.reportMeaning = find(this.recorded.reports, name).meaning;
    this.report = PeerReport.decode(reportBytes(this.recorded, name, variant));
});

function find<Value>(values: Readonly<Record<string, Value>>, name: string): Value {
    const value = values[name];
    assert(value !== undefined, `nothing is recorded as ${name}`);
    return value;
}

function reportBytes(recorded: RecordedMessages, name: string, variant: string): Uint8Array {
    const bytes = Buffer.from(find(recorded.reports, name).hex, "hex");
    const report = PeerReport.decode(bytes);
    switch (variant) {
        case "as recorded":
            return bytes;
        case "with fields that this build does not know":
            return addUnknownFields(bytes, NESTED_REPORT_FIELDS);
        case "with a scope that this build does not know":
            return PeerReport.encode({ ...report, scope: UNKNOWN_VALUE as PeerReport["scope"] }).finish();
        case "with a verdict that this build does not know":
            return PeerReport.encode({
                ...report,
                versions: report.versions.map(count => ({ ...count, verdict: UNKNOWN_VALUE as typeof count.verdict })),
            }).finish();
        default:
            throw new Error(`Cannot vary a report: "${variant}" is unknown`);
    }
}

Then("each field that the sender knew has the value that it sent", function(this: OtherBuildScenario) {
    assertMeaning(this.report, this.reportMeaning, "report");
});

/** Fails unless each field that the writer knew has its value; fields that were added since are not compared. */
function assertMeaning(actual: unknown, expected: unknown, path: string): void {
    if (Array.isArray(expected)) {
        assert(Array.isArray(actual), path);
        assert.equal(actual.length, expected.length, `${path} has another length`);
        for (const [index, item] of expected.entries()) {
            assertMeaning(actual[index], item, `${path}[${index}]`);
        }
        return;
    }
    if (typeof expected === "object" && expected) {
        for (const [name, value] of Object.entries(expected)) {
            assertMeaning((actual as Readonly<Record<string, unknown>>)[name], value, `${path}.${name}`);
        }
        return;
    }
    assert.equal(actual, expected, path);
}

When("a {word} exchange receives the {string} report with a scope that this build does not know", function(
    this: OtherBuildScenario,
    kind: string,
    name: string,
) {
    const clock = new VirtualClock();
    const directory = makeDirectory(clock, {} as KeyedLog);
    const exchange = kind === "mesh" ?
        new MeshExchange(clock, directory) :
        new TreeExchange({ node: "entry-2", failureDomain: "zone-a", clock, directory });
    exchange.prepareReports(EMPTY_REPORT);
    const report = PeerReport.decode(reportBytes(this.recorded, name, "with a scope that this build does not know"));
    this.appliedReports = exchange.receive(report);
});

Then("it applies nothing", function(this: OtherBuildScenario) {
    assert.deepEqual(this.appliedReports, []);
});

Then("its verdict is {string}", function(this: OtherBuildScenario, verdict: string) {
    const states = this.report.versions.map(count => stateOf(count.verdict));
    assert.deepEqual(states, [verdict === "none" ? undefined : VersionOrderState.RolledBack]);
});

Given("a relay node of this build", async function(this: OtherBuildScenario) {
    this.engine = new EngineServer("engine-1");
    this.relay = new RelayFixture("entry-2");
    await this.relay.start([this.engine], false, store => {
        for (const { topic, key, text } of this.recorded.records) {
            store.put(topic, key, text);
        }
    });
});

When(/^the node receives the "node" report (.*)$/, async function(this: OtherBuildScenario, variant: string) {
    await sendReport(this, variant);
});

async function sendReport(scenario: OtherBuildScenario, variant: string): Promise<void> {
    const [host, port] = nodeOf(scenario).peerAddress.split(":");
    const socket = createSocket("udp4");
    await new Promise<void>(resolve => {
        socket.send(reportBytes(scenario.recorded, "node", variant), Number(port), host, () => resolve());
    });
    socket.close();
}

function nodeOf({ relay }: OtherBuildScenario): RelayFixture["node"] {
    assert(relay !== undefined, "no node is started");
    return relay.node;
}

Then("the node counts {int} peers", async function(this: OtherBuildScenario, count: number) {
    const node = nodeOf(this);
    if (count === 0) {
        await new Promise(resolve => setTimeout(resolve, IGNORED_MS));
        assert.equal(node.reachablePeers, 0);
        return;
    }
    await waitFor("the peer is counted", () => node.reachablePeers === count);
});

When(/^the node receives the "(\w+)" call (.*)$/, async function(this: OtherBuildScenario, name: string, variant: string) {
    this.callName = name;
    this.engine.isStream = isStream(this);
    const recorded = Buffer.from(find(this.recorded.detourCalls, name).hex, "hex");
    const message = variant === "as recorded" ? recorded : addUnknownFields(recorded, NESTED_CALL_FIELDS);
    const node = nodeOf(this);
    await sendReport(this, "as recorded");
    await waitFor("the sender is known as a node", () => node.reachablePeers > 0);
    const [host, port] = node.peerAddress.split(":");
    this.otherAnswer = await new Promise((resolve, reject) => {
        const outgoing = request({ host, port, path: DETOUR_PATH, method: "POST" }, response => {
            let body = "";
            response.on("data", chunk => body += String(chunk));
            response.on("end", () => resolve({ status: response.statusCode ?? 0, headers: response.headers, body }));
        });
        outgoing.on("error", reject);
        outgoing.end(message);
    });
});

function isStream({ recorded, callName }: OtherBuildScenario): boolean {
    return (find(recorded.detourCalls, callName).meaning["route"] as { readonly isStream: boolean }).isStream;
}

Then("the sender gets the complete answer of a server", function(this: OtherBuildScenario) {
    const { status, headers, body } = this.otherAnswer;
    assert.equal(status, 200, body);
    assert.equal(headers["response-seal"], "seal");
    assert.equal(body, isStream(this) ? eventsAfter(this.callName === "resumed" ? RESUMED_AFTER_EVENT : 0) : PLAIN_BODY);
});

function eventsAfter(after: number, until = STREAM_EVENTS): string {
    let text = "";
    for (let event = after + 1; event <= until; event += 1) {
        text += formatEvent(event);
    }
    return text;
}

Then("the server got the call once, as it was admitted", function(this: OtherBuildScenario) {
    const { meaning } = find(this.recorded.detourCalls, this.callName);
    assert.equal(this.engine.receivedCalls.length, 1);
    const [{ startLine, headers, body }] = this.engine.receivedCalls;
    assert.equal(startLine, `${String(meaning["method"])} ${String(meaning["target"])} HTTP/1.1`);
    assert.equal(body, meaning["body"]);
    assert.equal(headers.get("request-id"), "call-1");
    assert.equal(headers.get("host"), "app.example");
    assert.equal(headers.get("x-end"), "ä");
    assert.equal(headers.get("tenant") ?? "", meaning["workspace"]);
    assert.equal(headers.get("last-event-id") ?? "", meaning["lastEventId"]);
    const deadlineMs = Number(headers.get("deadline-ms"));
    assert(deadlineMs > 0 && deadlineMs <= Number(meaning["deadlineMs"]) - Number(meaning["elapsedMs"]), `${deadlineMs} ms`);
});

Given(
    /^a relay node of this build whose only peer gives the answer "(\w+)" (as recorded|with headers)$/,
    async function(this: OtherBuildScenario, name: string, variant: string) {
        const recorded = find(this.recorded.detourAnswers, name);
        const answer = variant === "as recorded" ? recorded : addUnknownHeaders(recorded);
        this.handedCalls = 0;
        const peer = createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", () => {
                this.handedCalls += 1;
                socket.write(Buffer.from(answer, "latin1"));
            });
        });
        await new Promise<void>(resolve => peer.listen(0, "127.0.0.1", resolve));
        this.peer = peer;
        this.engine = new EngineServer("engine-1");
        this.relay = new RelayFixture("entry-2");
        await this.relay.start([], false, store => {
            for (const id of ["engine-1", "engine-2"]) {
                store.put("keyed.servers", id, this.engine.serverEntry("service", { Address: "127.0.0.1:1" }));
            }
            const entry = this.recorded.records.find(record => record.topic === "keyed.nodes")?.text ?? "{}";
            const address = `127.0.0.1:${(peer.address() as AddressInfo).port}`;
            store.put("keyed.nodes", "entry-1", { ...JSON.parse(entry) as object, address });
        });
    },
);

When("a {string} call is sent to the node", async function(this: OtherBuildScenario, kind: string) {
    const { relay } = this;
    assert(relay !== undefined);
    // Calls before the node has read the peer's entry are refused.
    await waitFor("a call is handed to the peer", async () => {
        this.otherAnswer = await relay.send({ id: RECORDED_CALL_ID, path: PATH_BY_CALL_KIND[kind] ?? "" });
        return this.handedCalls > 0;
    });
});

Then(/^the caller gets (\d+) with (.*)$/, function(this: OtherBuildScenario, status: string, content: string) {
    const { status: received, headers, body } = this.otherAnswer;
    assert.equal(received, Number(status), body);
    const seal = headers["response-seal"];
    switch (content) {
        case "a time to return":
            assert(Number(headers["retry-after"]) > 0);
            assert.equal(seal, undefined);
            return;
        case "no seal":
            assert.equal(seal, undefined);
            return;
        case "the server's answer":
            assert.equal(body, PLAIN_BODY);
            break;
        case "the server's failure":
            assert.equal(body, "failed");
            break;
        case "the server's events":
            assert.equal(body, eventsAfter(0, 2));
            break;
        default:
            throw new Error(`Cannot check an answer: "${content}" is unknown`);
    }
    assert.equal(seal, "seal");
});

When(/^the records of the log are read (.*)$/, async function(this: OtherBuildScenario, variant: string) {
    const texts = this.recorded.records.map(record => ({ ...record, text: varyRecord(record.text, variant) }));
    const log = {
        readNewest: (topic: string) => {
            const newest = new Map(texts.filter(record => record.topic === topic).map(({ key, text }) => [key, text]));
            const records = [...newest].map(([key, text], offset) => ({ key, value: Buffer.from(text), offset }));
            return Promise.resolve({ records, endOffset: records.length, era: 2 });
        },
        append: () => Promise.resolve(2),
    } as unknown as KeyedLog;
    const clock = new VirtualClock();
    this.directory = makeDirectory(clock, log);
    await this.directory.join(new AbortController().signal);
    this.rollout = makeRollout(clock);
    await new RolloutLog({
        clock,
        log,
        records: new PlatformRecords(),
        rollouts: new Map([["service", this.rollout]]),
        onSettled: (rollout, state) => {
            this.settledState = state;
            rollout.state = state;
        },
        onWritten: () => undefined,
        onRewrite: topic => assert.fail(topic),
    }).synchronize(this.rollout);
});

function makeDirectory(clock: VirtualClock, log: KeyedLog): NodeDirectory {
    return new NodeDirectory({
        log,
        clock,
        random: new SeededRandom(1),
        node: "entry-2",
        failureDomain: "zone-a",
        cores: 1,
        address: () => "127.0.0.1:1",
        onError: text => assert.fail(text),
        onRewrite: topic => assert.fail(topic),
    });
}

function varyRecord(text: string, variant: string): string {
    switch (variant) {
        case "as recorded":
            return text;
        case "with keys that this build does not know":
            return addUnknownKeys(text);
        case "with a state that this build does not know":
            return text.replace(/"State":"\w+"/, '"State":"later"');
        default:
            throw new Error(`Cannot vary a record: "${variant}" is unknown`);
    }
}

/** Returns the rollout of the recorded records as a node sees it that has read its order last. */
function makeRollout(clock: VirtualClock): VersionRollout {
    return {
        order: { service: "service", version: "v2", durationMs: 60_000 },
        serviceKey: hashKey("service"),
        evidence: new RolloutEvidence(60_000, clock),
        position: { era: 2, offset: 11 },
        startedAtMs: Number.MAX_SAFE_INTEGER,
        isStartKnown: false,
        share: 0,
        state: VersionOrderState.Running,
        finalAtMs: undefined,
        storedState: undefined,
        isStateKnown: false,
        isLogAnswering: true,
        loggedStep: 0,
        isRestored: false,
    };
}

Then(
    "the node of the record is known with its address, failure domain and processor capacity",
    function(this: OtherBuildScenario) {
        const known = { node: "entry-1", address: "127.0.0.1:7600", failureDomain: "zone-a", cores: 0.675 };
        assert.deepEqual(this.directory.peers(), [known]);
    },
);

Then(
    "the rollout continues from the recorded start with the state {string}",
    function(this: OtherBuildScenario, state: string) {
        assert.equal(this.rollout.startedAtMs, 1_765_000_000_000);
        assert(this.rollout.isStartKnown);
        assert.equal(this.settledState, state === "running" ? undefined : VersionOrderState.RolledBack);
        assert.equal(this.rollout.state, state === "running" ? VersionOrderState.Running : VersionOrderState.RolledBack);
    },
);
