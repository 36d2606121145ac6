/**
 * Steps about the port on which nodes hand calls to each other, end to end on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, request, type Server } from "node:http";
import { connect } from "node:net";
import { PlatformHeaders } from "../../platform/mod.js";
import { EngineBehaviour, EngineServer, formatEvent, PLAIN_BODY } from "../../platform/standin/engine_server.js";
import type { StoreServer } from "../../platform/standin/store_server.js";
import { isNotRun } from "../../src/coordination/relay/mod.js";
import { type AnswerHead, AttemptError, AttemptFault, DetourCall } from "../../src/protocol/relay/mod.js";
import { SystemClock } from "../../src/state/relay/mod.js";
import { DETOUR_CALL_HEADER, DETOUR_PATH, DetourServer, HttpClient, HttpDetourClient } from "../../src/transport/relay/mod.js";
import { type CallerAnswer, PATH_BY_CALL_KIND, RelayFixture, waitFor } from "../support/relay_fixture.js";
import { StoppedListener } from "../support/stopped_listener.js";
import type { Scenario } from "../support/world.js";

/** Address of loopback that no node has. */
const STRANGER_HOST = "127.0.0.2";

/** Ports that refuse connections. They are outside the range from which listeners get a free port. */
const REFUSING_PORTS: readonly number[] = [1, 2];

/** Deadline that callers state, in milliseconds. */
const DEADLINE_MS = 5_000;

/** Events of a complete stream of the stand-in. */
const STREAM_EVENTS = 6;

/** Time after which a call that was sent is received, and after which it is answered, in milliseconds. */
const RECEIVED_AFTER_MS = 100;
const ANSWERED_AFTER_MS = 500;

/** Time after which a caller leaves, in milliseconds. */
const LEAVES_AFTER_MS = 300;

/** State of a scenario of this file. */
interface PortScenario extends Scenario {
    cutRelay: RelayFixture;
    peerRelay: RelayFixture;
    engines: EngineServer[];
    listener: StoppedListener | undefined;
    portAnswers: CallerAnswer[];
    strangerStatus: number;
    leftAtMs: number;
    nodePort: DetourServer | undefined;
    nodeBytes: string;
    peer: Server | undefined;
    peerAnswer: AnswerHead | AttemptError;
}

After(async function(this: PortScenario) {
    await this.cutRelay?.stop();
    await this.peerRelay?.stop();
    this.listener?.close();
    this.nodePort?.closeAll();
    this.peer?.close();
});

Given(
    /^two relay nodes, and the attempts of (the first one|both) to connect to servers (are refused|hang)$/,
    async function(this: PortScenario, whose: string, fault: string) {
        this.engines = [new EngineServer("engine-1"), new EngineServer("engine-2")];
        this.portAnswers = [];
        const addresses = fault === "hang" ?
            await listHangingAddresses(this) :
            REFUSING_PORTS.map(port => `127.0.0.1:${port}`);
        const putUnusable = (store: StoreServer) => {
            for (const [index, engine] of this.engines.entries()) {
                store.put("keyed.servers", engine.id, engine.serverEntry("service", { Address: addresses[index] }));
            }
        };
        this.peerRelay = new RelayFixture("entry-2");
        await this.peerRelay.start(whose === "both" ? [] : this.engines, false, whose === "both" ? putUnusable : undefined);
        this.cutRelay = new RelayFixture("entry-1");
        await this.cutRelay.start([], false, store => {
            putUnusable(store);
            const address = this.peerRelay.node.peerAddress;
            store.put("keyed.nodes", "entry-2", { address, failureDomain: "zone-a", cores: 1 });
        });
        const nodes = [this.peerRelay.node, this.cutRelay.node];
        await waitFor("the nodes know each other", () => nodes.every(node => node.reachablePeers > 0));
    },
);

/** Returns two addresses at which attempts to connect hang. */
async function listHangingAddresses(scenario: PortScenario): Promise<readonly string[]> {
    scenario.listener = await StoppedListener.start();
    return [scenario.listener.address, scenario.listener.address];
}

When(
    "{int} {string} calls are sent to the first node, one after the other",
    async function(this: PortScenario, count: number, kind: string) {
        for (const engine of this.engines) {
            engine.isStream = kind.endsWith("stream");
        }
        for (let call = 1; call <= count; call += 1) {
            const headers = { "X-End": String(call) };
            this.portAnswers.push(await this.cutRelay.send({ path: PATH_BY_CALL_KIND[kind] ?? "", headers }));
        }
    },
);

Then("each of them gets the complete answer of a server", function(this: PortScenario) {
    const events = Array.from({ length: STREAM_EVENTS }, (unused, index) => formatEvent(index + 1)).join("");
    for (const { status, headers, body, isComplete } of this.portAnswers) {
        assert.equal(status, 200);
        assert.equal(headers[DETOUR_CALL_HEADER], undefined);
        assert.equal(body, this.engines[0]?.isStream === true ? events : PLAIN_BODY);
        assert(isComplete);
    }
});

Then(
    "each of them has reached servers once, with the deadline, workspace and headers of its caller and without the key",
    function(this: PortScenario) {
        const calls = this.engines.flatMap(engine => engine.receivedCalls);
        assert.deepEqual(calls.map(({ headers }) => headers.get("x-end")).sort(), ["1", "2", "3", "4", "5"]);
        for (const { headers, body } of calls) {
            const remainingMs = Number(headers.get("deadline-ms"));
            assert(remainingMs > 0 && remainingMs <= DEADLINE_MS, `the remaining time is ${remainingMs} ms`);
            assert.equal(headers.get("tenant"), "clinic");
            assert.equal(headers.get("host"), "app.example");
            assert.equal(headers.get("api-key"), undefined);
            assert.equal(body, "body");
        }
    },
);

When("a caller of the first node leaves while a server works on its call", async function(this: PortScenario) {
    for (const engine of this.engines) {
        engine.behaviour = EngineBehaviour.Hangs;
    }
    await this.cutRelay.send({ path: PATH_BY_CALL_KIND["unsafe"] ?? "", disconnectAfterMs: LEAVES_AFTER_MS });
});

Then("the server's connection ends within {int} ms", async function(this: PortScenario, limitMs: number) {
    await waitFor("a server's connection ends", () => {
        return this.engines.some(({ abandonedCalls, resetConnections }) => abandonedCalls + resetConnections > 0);
    }, limitMs);
});

When("a call that servers fail is sent to the first node", async function(this: PortScenario) {
    for (const engine of this.engines) {
        engine.behaviour = EngineBehaviour.FailsAfterRun;
    }
    this.portAnswers.push(await this.cutRelay.send({ path: PATH_BY_CALL_KIND["unsafe"] ?? "" }));
});

Then("its caller gets status {int} with the seal of the server", function(this: PortScenario, status: number) {
    assert.equal(this.portAnswers[0]?.status, status);
    assert.equal(this.portAnswers[0].headers["response-seal"], "seal");
    assert.equal(this.portAnswers[0].body, "failed");
});

When("a stranger sends a call to the port for other nodes", async function(this: PortScenario) {
    this.strangerStatus = await sendMessage(this.peerRelay.node.peerAddress, STRANGER_HOST);
});

Then("the stranger gets status {int}, and no server has received a call", function(this: PortScenario, status: number) {
    assert.equal(this.strangerStatus, status);
    assert(this.engines.every(engine => engine.receivedCalls.length === 0));
});

When("a caller sends a call of nodes to the port for callers", async function(this: PortScenario) {
    this.strangerStatus = await sendMessage(this.peerRelay.node.callerAddress, STRANGER_HOST);
});

Then("the caller gets status {int}, and no server has received a call", function(this: PortScenario, status: number) {
    assert.equal(this.strangerStatus, status);
    assert(this.engines.every(engine => engine.receivedCalls.length === 0));
});

Then("each of them is refused with a time to return", function(this: PortScenario) {
    for (const { status, headers } of this.portAnswers) {
        assert.equal(status, 503);
        assert(Number(headers["retry-after"]) > 0);
    }
});

/** Sends a valid message of nodes from a host of loopback and returns the status of its answer. */
function sendMessage(address: string, localAddress: string): Promise<number> {
    const [host, port] = address.split(":");
    const message = DetourCall.encode({
        headers: ["Host", "app.example", "Request-Id", "stranger-1"],
        method: "POST",
        target: "/unsafe/x",
        body: Buffer.from("body"),
        lastEventId: "",
        service: "service",
        route: {
            name: "unsafe",
            isRepeatable: false,
            isStream: false,
            isResumable: false,
            timeoutMs: DEADLINE_MS,
            objectiveMs: 500,
            rank: 0,
            maxAttempts: 1,
        },
        workspace: "clinic",
        workspaceRank: 0,
        elapsedMs: 0,
        deadlineMs: DEADLINE_MS,
        firstAttemptDeadlineMs: DEADLINE_MS,
        configurationVersion: 1,
        homeRegions: [],
        confinedRoute: undefined,
    }).finish();
    const headers = { "Request-Id": "stranger-1", "Content-Length": message.length };
    return new Promise((resolve, reject) => {
        const outgoing = request(
            { host, port: Number(port), localAddress, path: DETOUR_PATH, method: "POST", headers },
            response => {
                response.resume();
                resolve(response.statusCode ?? 0);
            },
        );
        outgoing.on("error", reject);
        outgoing.end(message);
    });
}

Given("a port for calls of nodes that serves each in {int} ms", async function(this: PortScenario, processingMs: number) {
    this.nodePort = new DetourServer({
        clock: new SystemClock(),
        isNode: () => true,
        receive: (call, answer) => {
            setTimeout(() => answer.sendComplete(200, [], Buffer.from("done")), processingMs);
            return undefined;
        },
        onListenerError: () => undefined,
        onRejected: () => undefined,
    });
    await this.nodePort.listen("127.0.0.1", 0);
});

When(/^another node sends a call and (.+) behind it$/, async function(this: PortScenario, bytes: string) {
    const bytesByName: Readonly<Record<string, string>> = {
        "bytes that are no call": "no call\r\n\r\n",
        "a head of 100 kB": `POST /calls HTTP/1.1\r\nLarge: ${"x".repeat(100_000)}\r\n\r\n`,
        "a cut head": "POST /calls HTTP/1.1\r\nHo",
    };
    const message = DetourCall.encode(makeMessage()).finish();
    const socket = connect({ host: "127.0.0.1", port: this.nodePort?.port ?? 0 });
    this.nodeBytes = "";
    socket.on("data", data => this.nodeBytes += data.toString("latin1"));
    socket.on("error", () => socket.destroy());
    socket.write(`POST /calls HTTP/1.1\r\nHost: node\r\nContent-Length: ${message.length}\r\n\r\n`);
    socket.write(message);
    await new Promise(resolve => setTimeout(resolve, RECEIVED_AFTER_MS));
    socket.write(bytesByName[bytes] ?? "");
    if (bytes === "a cut head") {
        socket.end();
    }
    await new Promise(resolve => setTimeout(resolve, ANSWERED_AFTER_MS));
    socket.destroy();
});

Then("it gets no status but that of its call", function(this: PortScenario) {
    const statuses = [...this.nodeBytes.matchAll(/HTTP\/1.1 (\d+)/g)].map(match => match[1]);
    assert(statuses.every(status => status === "200") && statuses.length <= 1, this.nodeBytes);
});

Given(
    /^a peer that answers each call with (\d+) as (the HTTP library|a node|an older node) does$/,
    async function(this: PortScenario, status: string, form: string) {
        const peer = createServer((call, response) => {
            const id = call.headers[DETOUR_CALL_HEADER];
            call.resume();
            call.on("end", () => {
                response.writeHead(Number(status), {
                    ...form === "the HTTP library" ? {} : { "content-type": "application/json" },
                    ...form === "a node" ? { [DETOUR_CALL_HEADER]: id } : {},
                });
                response.end();
            });
        });
        this.peer = peer;
        await new Promise<void>(resolve => peer.listen(0, "127.0.0.1", resolve));
    },
);

When("a call is handed to it", async function(this: PortScenario) {
    const address = this.peer?.address();
    const port = typeof address === "object" && address ? address.port : 0;
    const client = new HttpClient();
    const peer = { node: "entry-2", address: `127.0.0.1:${port}` };
    const answer = new HttpDetourClient(client, new PlatformHeaders()).send(
        peer,
        makeMessage(),
        new AbortController().signal,
        () => true,
    );
    try {
        this.peerAnswer = await answer.awaitHead();
    }
    catch (error) {
        assert(error instanceof AttemptError);
        this.peerAnswer = error;
    }
    answer.cancel();
    await client.close();
});

Then("its answer leaves open whether it has run", function(this: PortScenario) {
    assert(this.peerAnswer instanceof AttemptError);
    assert.equal(this.peerAnswer.fault, AttemptFault.Unknown);
});

Then("its answer states that it has not run", function(this: PortScenario) {
    assert(!(this.peerAnswer instanceof AttemptError) && isNotRun(this.peerAnswer.status));
});

/** @returns The message of a call of which only the headers are set. */
function makeMessage(): DetourCall {
    return { ...DetourCall.decode(Buffer.alloc(0)), headers: ["Request-Id", "call-1", "Host", "app.example"] };
}
