/**
 * Steps about relaying opaque calls, end to end on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Agent } from "node:http";
import type { EngineBehaviour } from "../../platform/standin/engine_server.js";
import { EngineServer, formatEvent, PLAIN_BODY } from "../../platform/standin/engine_server.js";
import { BusyClock, SlowHeaders } from "../support/busy_node.js";
import { type CallerAnswer, PATH_BY_CALL_KIND, RelayFixture, waitFor } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Body that is larger than the configuration allows. */
const OVERSIZED_BODY = "x".repeat(30_000);

/** Header that is larger than the configuration allows. */
const OVERSIZED_HEADER = "x".repeat(17_000);

/** State of a scenario of this file. */
interface RelayScenario extends Scenario {
    relay: RelayFixture;
    relayAnswers: CallerAnswer[];
    wasReadyWhileDrained: boolean;
}

After(async function(this: RelayScenario) {
    await this.relay?.stop();
});

Given(
    /^a( streaming)? relay with one server that (.+) and one that (.+)$/,
    async function(this: RelayScenario, streams: string | undefined, first: string, second: string) {
        this.relay = new RelayFixture();
        this.relayAnswers = [];
        const engines = [first, second].map((behaviour, index) => {
            const engine = new EngineServer(`engine-${index + 1}`);
            engine.behaviour = behaviour as EngineBehaviour;
            engine.isStream = Boolean(streams);
            return engine;
        });
        await this.relay.start(engines);
    },
);

Given("a relay whose store is down", async function(this: RelayScenario) {
    this.relay = new RelayFixture();
    this.relayAnswers = [];
    await this.relay.start([], true);
});

Given(
    "a relay that stays busy for {int} ms between the placement of a call and the opening of its connection",
    async function(this: RelayScenario, busyMs: number) {
        const clock = new BusyClock();
        this.relay = new RelayFixture("entry-1", clock, new SlowHeaders(clock, busyMs));
        this.relayAnswers = [];
        await this.relay.start([new EngineServer("engine-1"), new EngineServer("engine-2")]);
    },
);

Given("calls take {int} ms", function(this: RelayScenario, workMs: number) {
    for (const engine of this.relay.engines) {
        engine.processingMs = workMs;
    }
});

Given("the first server states a limit of {string} calls a second", function(this: RelayScenario, limit: string) {
    const [engine] = this.relay.engines;
    assert(engine !== undefined);
    engine.limit = limit;
});

Then(
    "the first server has received at least {int} and at most {int} calls",
    function(this: RelayScenario, least: number, most: number) {
        const received = this.relay.engines[0]?.receivedCalls.length ?? 0;
        assert(received >= least && received <= most, `${received} calls`);
    },
);

When("{int} ms have passed", async function(this: RelayScenario, durationMs: number) {
    await new Promise(resolve => setTimeout(resolve, durationMs));
});

Then("the last caller is told that the call has not run and must not be repeated", function(this: RelayScenario) {
    const answer = this.relayAnswers.at(-1);
    assert.equal(answer?.status, 500);
    assert.match(answer.body, /has not run and must not be repeated/);
});

When("a {string} call is sent to the faulty server first", async function(this: RelayScenario, kind: string) {
    const [faulty, healthy] = this.relay.engines;
    assert(faulty !== undefined && healthy !== undefined);
    const behaviour = faulty.behaviour;
    for (let attempt = 0; attempt < 50; attempt += 1) {
        const before = faulty.receivedCalls.length;
        const answer = await this.relay.send({ path: PATH_BY_CALL_KIND[kind] ?? "" });
        if (faulty.receivedCalls.length > before) {
            this.relayAnswers = [answer];
            return;
        }
        healthy.receivedCalls.length = 0;
    }
    throw new Error(`Cannot send a call to the server that ${behaviour} first: all 50 calls went to the other server`);
});

Then("the caller gets status {int} before its deadline", function(this: RelayScenario, status: number) {
    const [answer] = this.relayAnswers;
    assert.equal(answer?.status, status);
});

Then(
    "the faulty server has sent at most {int} MiB without end, and its connection is closed",
    async function(this: RelayScenario, limitMib: number) {
        const [faulty] = this.relay.engines;
        await waitFor("the connection is closed", () => faulty?.endlessAnswers === 0);
        assert((faulty?.endlessBytes ?? Infinity) <= limitMib * 1_048_576, `${faulty?.endlessBytes} bytes`);
    },
);

When(/^an? "(\w+)" call is sent$/, async function(this: RelayScenario, kind: string) {
    this.relayAnswers = [await this.relay.send({ path: PATH_BY_CALL_KIND[kind] ?? "" })];
});

When("an {string} call is sent on a route of 300 ms", async function(this: RelayScenario, kind: string) {
    assert.equal(kind, "unsafe");
    this.relayAnswers = [await this.relay.send({ path: PATH_BY_CALL_KIND["short"] ?? "" })];
});

When(
    "an {string} call is sent and its caller disconnects after {int} ms",
    async function(this: RelayScenario, kind: string, disconnectAfterMs: number) {
        this.relayAnswers = [await this.relay.send({ path: PATH_BY_CALL_KIND[kind] ?? "", disconnectAfterMs })];
    },
);

When("{int} {string} calls are sent one after the other", async function(this: RelayScenario, count: number, kind: string) {
    for (let call = 0; call < count; call += 1) {
        this.relayAnswers.push(await this.relay.send({ path: PATH_BY_CALL_KIND[kind] ?? "" }));
    }
});

When("a caller sends headers that the node must not forward", async function(this: RelayScenario) {
    this.relayAnswers = [
        await this.relay.send({
            path: "/unsafe/a%20b//c?x=1&y",
            method: "PUT",
            body: "whole body",
            headers: {
                "Connection": "close, X-Hop",
                "X-Hop": "1",
                "X-End": "2",
                "Tenant": "forged",
                "Expect-Instance": "forged",
                "Hold": "forged",
                "Pin-Ms": "9",
                "Kv-From": "forged",
                "Kv-Backup": "forged",
                "Model": "m",
                "Token-Usage": "10,20",
            },
        }),
    ];
});

When(/^a relayed call with (.+) is sent$/, async function(this: RelayScenario, trait: string) {
    const path = PATH_BY_CALL_KIND["unsafe"] ?? "";
    switch (trait) {
        case "an unknown host":
            this.relayAnswers = [await this.relay.send({ path, headers: { Host: "other.example" } })];
            return;
        case "an unknown path":
            this.relayAnswers = [await this.relay.send({ path: "/unknown/x" })];
            return;
        case "an unknown key":
            this.relayAnswers = [await this.relay.send({ path, headers: { "Api-Key": "unknown" } })];
            return;
        case "no key":
            this.relayAnswers = [await this.relay.send({ path, headers: { "Api-Key": [] } })];
            return;
        case "no id":
            this.relayAnswers = [await this.relay.send({ path, headers: { "Request-Id": [] } })];
            return;
        case "two ids":
            this.relayAnswers = [await this.relay.send({ path, headers: { "Request-Id": ["one", "two"] } })];
            return;
        case "too large a body":
            this.relayAnswers = [await this.relay.send({ path, body: OVERSIZED_BODY })];
            return;
        case "too large a head":
            this.relayAnswers = [await this.relay.send({ path, headers: { "Large-Header": OVERSIZED_HEADER } })];
            return;
        default:
            throw new Error(`Cannot send a call with "${trait}": the trait is unknown`);
    }
});

When("the configuration revokes the caller's key", function(this: RelayScenario) {
    this.relay.configure({ keys: ["another-key"] });
});

When("an older configuration is written again", async function(this: RelayScenario) {
    this.relay.configure({ version: 2 });
    await new Promise(resolve => setTimeout(resolve, 200));
});

When(
    "the store compacts its history while the configuration revokes the caller's key",
    function(this: RelayScenario) {
        this.relay.store.isDown = true;
        this.relay.configure({ keys: ["another-key"] });
        this.relay.store.compact("keyed.op");
        this.relay.store.isDown = false;
    },
);

Given("the store is copied", function(this: RelayScenario) {
    this.relay.store.copy();
});

When("the configuration revokes the caller's key in {int} versions", function(this: RelayScenario, count: number) {
    for (let written = 0; written < count; written += 1) {
        this.relay.configure({ keys: ["another-key"] });
    }
});

When("the store comes back from the copy", async function(this: RelayScenario) {
    this.relay.store.restore();
    await new Promise(resolve => setTimeout(resolve, 1_500));
});

When("the configuration admits the caller's key again", function(this: RelayScenario) {
    this.relay.configure();
});

When("the first server reports that it is draining", function(this: RelayScenario) {
    const [engine] = this.relay.engines;
    this.relay.store.put("keyed.servers", engine?.id ?? "", engine?.serverEntry("service", { State: "draining", Sequence: 2 }));
});

When("other writers add malformed server entries", function(this: RelayScenario) {
    const entries: readonly [string, unknown][] = [
        ["bad-1", "not json"],
        ["bad-2", { Service: "service" }],
        ["bad-3", { ...this.relay.engines[0]?.serverEntry("service"), Slots: "many" }],
        ["bad-4", { ...this.relay.engines[0]?.serverEntry("service"), State: "unheard of" }],
        ["bad-5", { ...this.relay.engines[0]?.serverEntry("service"), born: 1.5 }],
        ["bad-6", "\u0000\u0001"],
    ];
    for (const [key, value] of entries) {
        this.relay.store.put("keyed.servers", key, value);
    }
});

When(
    "the node is drained while {int} {string} calls are in flight on keep-alive connections",
    async function(this: RelayScenario, count: number, kind: string) {
        const agent = new Agent({ keepAlive: true });
        await this.relay.send({ path: PATH_BY_CALL_KIND[kind] ?? "", agent });
        const sent = Array.from({ length: count }, () => this.relay.send({ path: PATH_BY_CALL_KIND[kind] ?? "", agent }));
        await new Promise(resolve => setTimeout(resolve, 100));
        const drained = this.relay.node.drain();
        this.wasReadyWhileDrained = this.relay.node.isReady;
        this.relayAnswers = await Promise.all(sent);
        await drained;
        agent.destroy();
    },
);

Then(
    "the caller gets status {int}, and the servers have received the call {int} times",
    function(this: RelayScenario, status: number, times: number) {
        const [answer] = this.relayAnswers;
        assert.equal(answer?.status, status, answer?.body);
        assert.equal(this.relay.engines.reduce((sum, engine) => sum + engine.receivedCalls.length, 0), times);
        if (status === 200) {
            assert.equal(answer.body, PLAIN_BODY);
            assert.equal(answer.headers["response-seal"], "seal");
            assert(answer.isComplete);
        }
        if (status === 502) {
            assert.equal(answer.headers["response-seal"], undefined);
        }
    },
);

Then("the server receives the method, path, query, body and headers of the caller", function(this: RelayScenario) {
    const call = this.relay.engines.flatMap(engine => engine.receivedCalls)[0];
    assert.equal(call?.startLine, "PUT /unsafe/a%20b//c?x=1&y HTTP/1.1");
    assert.equal(call.body, "whole body");
    assert.equal(call.headers.get("x-end"), "2");
    assert.equal(call.headers.get("model"), "m");
    assert.equal(call.headers.get("token-usage"), "10,20");
    assert.equal(call.headers.get("host"), "app.example");
});

Then(
    "the server receives the workspace, its own id and the remaining time, and neither the key nor headers that only nodes set",
    function(this: RelayScenario) {
        const engine = this.relay.engines.find(candidate => candidate.receivedCalls.length > 0);
        const headers = engine?.receivedCalls[0]?.headers;
        assert.equal(headers?.get("tenant"), "clinic");
        assert.equal(headers.get("expect-instance"), engine?.id);
        const remainingMs = Number(headers.get("deadline-ms"));
        assert(remainingMs > 4_000 && remainingMs <= 5_000, `the remaining time is ${remainingMs} ms`);
        for (const name of ["api-key", "x-hop", "hold", "pin-ms", "kv-from", "kv-backup"]) {
            assert.equal(headers.get(name), undefined, name);
        }
    },
);

Then("each relayed caller gets its own answer", function(this: RelayScenario) {
    for (const answer of this.relayAnswers) {
        assert.equal(answer.status, 200);
        assert.equal(answer.body, PLAIN_BODY);
        assert(answer.isComplete);
    }
});

Then(
    "the caller gets events 1 to {int}, each once, and the stream is {word}",
    function(this: RelayScenario, events: number, end: string) {
        const [answer] = this.relayAnswers;
        const expected = Array.from({ length: events }, (unused, index) => formatEvent(index + 1)).join("");
        assert.equal(answer?.body, expected);
        assert.equal(answer.isComplete, end === "complete");
    },
);

Then("the node has logged no error", function(this: RelayScenario) {
    assert.deepEqual(this.relay.errorLines, []);
});

Then("no call has run twice, and none that has run was refused", function(this: RelayScenario) {
    const runIds = this.relay.engines.flatMap(engine => engine.runIds);
    assert(runIds.length > 0, "no call has run");
    assert.equal(new Set(runIds).size, runIds.length, "a call has run twice");
    const refusedIds = this.relayAnswers.filter(answer => answer.status === 503).map(answer => answer.id);
    assert.deepEqual(refusedIds.filter(id => runIds.includes(id)), []);
});

Then("the caller gets status {int} and a Retry-After header", function(this: RelayScenario, status: number) {
    const [answer] = this.relayAnswers;
    assert.equal(answer?.status, status);
    assert(Number(answer.headers["retry-after"]) > 0);
});

Then("the node is not ready", async function(this: RelayScenario) {
    const response = await fetch(`http://${this.relay.node.readinessAddress}/-/ready`);
    assert.equal(response.status, 503);
});

Then(
    "the caller gets status {int} after {int} ms to {int} ms",
    function(this: RelayScenario, status: number, minMs: number, maxMs: number) {
        const [answer] = this.relayAnswers;
        assert.equal(answer?.status, status);
        assert(answer.elapsedMs >= minMs && answer.elapsedMs <= maxMs, `it took ${answer.elapsedMs} ms`);
    },
);

Then("the server's connection is closed within {int} ms", async function(this: RelayScenario, limitMs: number) {
    await waitFor("a server's connection is closed", () => this.relay.engines.some(engine => engine.abandonedCalls > 0), limitMs);
});

Then("the server's connection is reset within {int} ms", async function(this: RelayScenario, limitMs: number) {
    await waitFor("a connection is reset", () => this.relay.engines.some(engine => engine.resetConnections > 0), limitMs);
});

Then("a {string} call gets status {int} within {int} ms", async function(
    this: RelayScenario,
    kind: string,
    status: number,
    limitMs: number,
) {
    const check = async () => (await this.relay.send({ path: PATH_BY_CALL_KIND[kind] ?? "" })).status === status;
    await waitFor(`a ${kind} call gets ${status}`, check, limitMs);
});

Then("a {string} call still gets status {int}", async function(this: RelayScenario, kind: string, status: number) {
    assert.equal((await this.relay.send({ path: PATH_BY_CALL_KIND[kind] ?? "" })).status, status);
});

Then("within {int} ms no further call reaches it", async function(this: RelayScenario, limitMs: number) {
    await new Promise(resolve => setTimeout(resolve, limitMs));
    const [engine] = this.relay.engines;
    const before = engine?.receivedCalls.length;
    for (let call = 0; call < 20; call += 1) {
        assert.equal((await this.relay.send({ path: PATH_BY_CALL_KIND["safe"] ?? "" })).status, 200);
    }
    assert.equal(engine?.receivedCalls.length, before);
});

Then("the node was not ready while it was drained", function(this: RelayScenario) {
    assert.equal(this.wasReadyWhileDrained, false);
});
