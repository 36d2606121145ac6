/**
 * Steps about the port on which nodes hand calls to each other, end to end on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { request } from "node:http";
import { EngineBehaviour, EngineServer, formatEvent, PLAIN_BODY } from "../../platform/standin/engine_server.js";
import type { StoreServer } from "../../platform/standin/store_server.js";
import { DetourCall } from "../../src/protocol/relay/mod.js";
import { DETOUR_CALL_HEADER, DETOUR_PATH } from "../../src/transport/relay/mod.js";
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
}

After(async function(this: PortScenario) {
    await this.cutRelay?.stop();
    await this.peerRelay?.stop();
    this.listener?.close();
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
