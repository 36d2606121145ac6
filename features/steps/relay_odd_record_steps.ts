/**
 * Steps about records, reports and calls that a relay node cannot use, end to end on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createSocket, type Socket as DatagramSocket } from "node:dgram";
import { request } from "node:http";
import { connect } from "node:net";
import { EngineServer, PLAIN_BODY } from "../../platform/standin/engine_server.js";
import { hashKey, PeerReport } from "../../src/protocol/relay/mod.js";
import { DETOUR_PATH } from "../../src/transport/relay/mod.js";
import {
    makeOddConfiguration,
    makeOddDetour,
    makeOddEntry,
    makeOddReports,
    makeReport,
    ODD_TOPIC_RECORDS,
} from "../support/odd_records.js";
import {
    type CallerAnswer,
    type CallerCall,
    makeConfiguration,
    PATH_BY_CALL_KIND,
    RelayFixture,
    waitFor,
} from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Path of the calls. */
const PATH = PATH_BY_CALL_KIND["unsafe"] ?? "";

/** Version of the odd configuration, and of the sound one that follows it. */
const ODD_VERSION = 100;
const LATER_VERSION = 1_000;

/** Time in which a later record must be applied, in milliseconds. */
const APPLY_LIMIT_MS = 3_000;

/** Time for an odd record or report to be read, in milliseconds. */
const READ_MS = 700;

/** Length of the key that a record states without having it, in bytes. */
const STATED_KEY_BYTES = 200;

let lastRawId = 0;

/** State of a scenario of this file. */
interface OddRecordScenario extends Scenario {
    oddRelay: RelayFixture;
    /** Server at whose address an odd entry is, unless its flaw is in the address. */
    oddEngine: EngineServer;
    oddAnswers: CallerAnswer[];
    /** Statuses of the odd calls. */
    statuses: number[];
    receivedBefore: readonly number[];
    peerStatus: number;
    oddPeer: DatagramSocket | undefined;
    /** Errors that nothing caught, and ends of the process. */
    processFaults: unknown[];
    removeGuards: () => void;
}

/** Records errors that nothing catches and ends of the process, which would end the test run. */
function guardProcess(scenario: OddRecordScenario): void {
    const { exit } = process;
    scenario.processFaults = [];
    const onFault = (fault: unknown) => scenario.processFaults.push(fault);
    process.on("unhandledRejection", onFault);
    process.on("uncaughtException", onFault);
    process.exit = (code => scenario.processFaults.push(`exit with code ${code}`)) as typeof process.exit;
    scenario.removeGuards = () => {
        process.exit = exit;
        process.exitCode = undefined;
        process.off("unhandledRejection", onFault);
        process.off("uncaughtException", onFault);
    };
}

After(async function(this: OddRecordScenario) {
    if (this.oddRelay !== undefined) {
        this.oddPeer?.close();
        this.oddEngine.close();
        await this.oddRelay.stop();
        this.removeGuards();
    }
});

Given(
    /^a relay with two servers, and one entry with (.+) that is written (before|after) a start$/,
    async function(this: OddRecordScenario, flaw: string, time: string) {
        guardProcess(this);
        this.oddRelay = new RelayFixture();
        this.oddAnswers = [];
        const engines = [new EngineServer("engine-1"), new EngineServer("engine-2")];
        this.oddEngine = new EngineServer("odd-1");
        await this.oddEngine.start();
        const record = makeOddEntry(flaw, this.oddEngine);
        const putEntry = () => {
            const key = Buffer.from(record.key);
            this.oddRelay.store.putContent("keyed.servers", Buffer.concat([Buffer.from([key.length]), key, record.value]));
        };
        await this.oddRelay.start(engines, false, () => {
            if (time === "before") {
                putEntry();
            }
        });
        if (time === "after") {
            putEntry();
            await pause(READ_MS);
        }
    },
);

Given("the caller's workspace has a quota", async function(this: OddRecordScenario) {
    const configuration = makeConfiguration(50, ["key-1"]) as { Tenants: readonly object[] };
    const tenants = configuration.Tenants.map(tenant => ({ ...tenant, RatePerS: 500, Burst: 1_000 }));
    this.oddRelay.store.put("keyed.op", "config", { ...configuration, Tenants: tenants });
    await pause(READ_MS);
});

When("a record that ends within its key names the first server", async function(this: OddRecordScenario) {
    const content = Buffer.concat([Buffer.from([STATED_KEY_BYTES]), Buffer.from("engine-1")]);
    this.oddRelay.store.putContent("keyed.servers", content);
    await pause(READ_MS);
    this.receivedBefore = this.oddRelay.engines.map(engine => engine.receivedCalls.length);
});

Then("each server has received calls since that record", function(this: OddRecordScenario) {
    for (const [index, engine] of this.oddRelay.engines.entries()) {
        assert(engine.receivedCalls.length > (this.receivedBefore[index] ?? 0), `${engine.id} has received none`);
    }
});

When(/^a configuration with (.+) is written$/, async function(this: OddRecordScenario, flaw: string) {
    this.oddRelay.store.put("keyed.op", "config", makeOddConfiguration(flaw, makeConfiguration(ODD_VERSION, ["key-1"])));
    await pause(READ_MS);
});

When(
    /^a record of (an order .+|a state .+|a start .+|a node .+) is written$/,
    async function(this: OddRecordScenario, kind: string) {
        const record = ODD_TOPIC_RECORDS[kind];
        assert(record !== undefined);
        this.oddRelay.store.put(record.topic, record.key, record.value);
        // The directory of the nodes is read 1.5 s after a start.
        await pause(record.topic === "keyed.nodes" ? 1_500 : 0);
    },
);

When("a rollout of a version is ordered", function(this: OddRecordScenario) {
    this.oddRelay.store.put("keyed.op", "rollout/service", { Service: "service", Target: "v2", DurationS: 60 });
});

Then("the state of the rollout is written", async function(this: OddRecordScenario) {
    const read = () => this.oddRelay.store.newestValue("keyed.status", "rollout/service");
    await waitFor("the state is written", () => read() !== undefined, APPLY_LIMIT_MS);
    assert.deepEqual(JSON.parse(read() ?? ""), { State: "running", Target: "v2" });
});

When(/^a peer sends a report with (.+)$/, async function(this: OddRecordScenario, flaw: string) {
    const keys = {
        workspace: hashKey("clinic"),
        servers: this.oddRelay.engines.map(({ id }) => hashKey(id)),
    };
    this.oddPeer = await openSocket();
    for (const datagram of makeOddReports(flaw, keys)) {
        await sendDatagram(this.oddPeer, datagram, this.oddRelay.node.peerAddress);
        await pause(50);
    }
    await pause(READ_MS);
});

Then("another peer is heard and gets reports", async function(this: OddRecordScenario) {
    const sound = await openSocket();
    let received = 0;
    sound.on("message", data => {
        received += PeerReport.decode(data).node === "entry-1" ? 1 : 0;
    });
    const { address, port } = sound.address();
    const before = this.oddRelay.node.reachablePeers;
    for (let sequence = 1; sequence <= 5; sequence += 1) {
        const report = makeReport("sound-peer", `${address}:${port}`, sequence);
        await sendDatagram(sound, PeerReport.encode(report).finish(), this.oddRelay.node.peerAddress);
        await pause(200);
    }
    assert(this.oddRelay.node.reachablePeers >= Math.max(1, before), `${this.oddRelay.node.reachablePeers} peers are heard`);
    assert(
        this.oddRelay.lines.some(line => line.msg === "peers: seen" && line["peer"] === "sound-peer"),
        "the peer is not heard",
    );
    assert(received > 0, "the peer gets no report");
    sound.close();
});

Then("a workspace over its quota is refused", async function(this: OddRecordScenario) {
    const statuses: number[] = [];
    for (let call = 0; call < 60; call += 1) {
        statuses.push((await this.oddRelay.send({ path: PATH, headers: { "Token-Usage": "500,500" } })).status);
    }
    assert(statuses.includes(429), `statuses ${[...new Set(statuses)].join(", ")}`);
});

When(/^a peer hands over a call with (.+)$/, async function(this: OddRecordScenario, flaw: string) {
    this.oddPeer = await openSocket();
    const { address, port } = this.oddPeer.address();
    const report = PeerReport.encode(makeReport("sound-peer", `${address}:${port}`, 1)).finish();
    await sendDatagram(this.oddPeer, report, this.oddRelay.node.peerAddress);
    await waitFor("the peer is known", () => this.oddRelay.node.reachablePeers > 0);
    this.peerStatus = await sendDetour(this.oddRelay.node.peerAddress, makeOddDetour(flaw));
});

Then("the peer gets status {int}", function(this: OddRecordScenario, status: number) {
    assert.equal(this.peerStatus, status);
});

/** Headers of calls, by flaw. */
const HEADERS_BY_FLAW: Readonly<Record<string, CallerCall["headers"]>> = {
    "an infinite size": { "Token-Usage": "Infinity,Infinity" },
    "a size of 1e308 tokens": { "Token-Usage": "1e308,1e308" },
    "an infinite prompt part": { "Prefix-Hash": "part-1:Infinity" },
    "a deadline of 1e308 ms": { "Deadline-Ms": "1e308" },
    "an infinite estimate": { "Length-Hint": "1e308" },
};

When(/^10 calls with (.+) are sent$/, async function(this: OddRecordScenario, flaw: string) {
    const headers = HEADERS_BY_FLAW[flaw];
    this.statuses = [];
    for (let call = 0; call < 10; call += 1) {
        this.statuses.push(
            headers === undefined ?
                await sendRaw(this.oddRelay.node.callerAddress, "/unsafe/a\tb") :
                (await this.oddRelay.send({ path: PATH, headers })).status,
        );
    }
});

Then("each of the odd calls gets status {int}", function(this: OddRecordScenario, status: number) {
    assert.deepEqual(this.statuses, this.statuses.map(() => status));
});

When("60 calls are sent, 20 at a time", async function(this: OddRecordScenario) {
    this.oddAnswers = [];
    const sendSome = async () => {
        for (let call = 0; call < 3; call += 1) {
            this.oddAnswers.push(await this.oddRelay.send({ path: PATH }));
        }
    };
    await Promise.all(Array.from({ length: 20 }, sendSome));
});

Then("each of them gets the whole answer of a server", function(this: OddRecordScenario) {
    for (const { status, body, isComplete } of this.oddAnswers) {
        assert.equal(status, 200, body);
        assert.equal(body, PLAIN_BODY);
        assert(isComplete);
    }
    assert.deepEqual(this.processFaults, []);
});

Then("the node keeps no slot, and goes on with later records", async function(this: OddRecordScenario) {
    await waitFor("no slot is kept", async () => await this.oddRelay.readMetric("sent_calls") === 0, APPLY_LIMIT_MS);
    const [first] = this.oddRelay.engines as [EngineServer, EngineServer];
    this.oddRelay.store.put("keyed.servers", first.id, first.serverEntry("service", { State: "draining", Sequence: 2 }));
    await waitFor("the later entry is applied", async () => {
        const before = first.receivedCalls.length;
        for (let call = 0; call < 5; call += 1) {
            assert.notEqual((await this.oddRelay.send({ path: PATH })).status, 0);
        }
        return first.receivedCalls.length === before;
    }, APPLY_LIMIT_MS);
    this.oddRelay.configure({ keys: ["another-key"], version: LATER_VERSION });
    await waitFor(
        "the later configuration is applied",
        async () => (await this.oddRelay.send({ path: PATH })).status === 401,
        APPLY_LIMIT_MS,
    );
    assert.deepEqual(this.processFaults, []);
});

function pause(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

async function openSocket(): Promise<DatagramSocket> {
    const socket = createSocket("udp4");
    await new Promise<void>(resolve => socket.bind({ address: "127.0.0.1", port: 0 }, resolve));
    return socket;
}

function sendDatagram(socket: DatagramSocket, datagram: Uint8Array, address: string): Promise<void> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
        socket.send(datagram, Number(port), host, error => {
            if (error) {
                reject(error);
                return;
            }
            resolve();
        });
    });
}

/** Hands a call to a node and returns the status of its answer; 0 if there is none. */
function sendDetour(address: string, message: Uint8Array): Promise<number> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const outgoing = request({ host, port: Number(port), path: DETOUR_PATH, method: "POST" }, response => {
            response.resume();
            resolve(response.statusCode ?? 0);
        });
        outgoing.on("error", () => resolve(0));
        outgoing.setTimeout(5_000, () => outgoing.destroy());
        outgoing.end(message);
    });
}

/** Sends a call whose target is written as it is, and returns the status of its answer; 0 if there is none. */
function sendRaw(callerAddress: string, target: string): Promise<number> {
    const [host, port] = callerAddress.split(":");
    return new Promise(resolve => {
        const socket = connect({ host, port: Number(port) });
        let text = "";
        socket.on("data", data => text += data.toString("latin1"));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0)));
        lastRawId += 1;
        const headers = `Host: app.example\r\nRequest-Id: raw-${lastRawId}\r\nApi-Key: key-1\r\nConnection: close`;
        socket.write(`GET ${target} HTTP/1.1\r\n${headers}\r\n\r\n`);
    });
}
