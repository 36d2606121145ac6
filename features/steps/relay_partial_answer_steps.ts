/**
 * Steps about partial answers and invalid statuses, on each path on which answers are read.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpKeyedLog } from "../../platform/mod.js";
import { EngineServer } from "../../platform/standin/engine_server.js";
import { type Vm, VmRole, VmState } from "../../src/state/mod.js";
import { HttpClient, HttpEngine, HttpEngineControl, HttpLogService, HttpPlainService } from "../../src/transport/mod.js";
import { ByteServer, ConnectionEnd } from "../support/byte_server.js";
import { type CallerAnswer, PATH_BY_CALL_KIND, RelayFixture } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Port that refuses connections. It is outside the range from which listeners get a free port. */
const REFUSING_PORT = 1;

/** Limits that admit the uploads. */
const LIMITS = { maxBodyBytes: 8_000_000 };

/** Upload of the clients, in bytes. */
const UPLOAD_BYTES = 900_000;

/** Time between two requests of a client, in milliseconds. */
const IDLE_MS = 20;

/** Content of each answer: one complete event. */
const EVENT = "id: 1\ndata: one\n\n";

/** Content that the client of each path takes for an answer; a stream of an engine lacks its last event. */
const CONTENT_BY_CLIENT: Readonly<Record<string, string>> = {
    "the client of engines": 'data: {"id":"call-1","token":{"index":0,"text":"a"}}\n\n',
    "the client of plain services": "content",
    "the client of the keyed log": "",
    "the client of the log service": '{"offset":1}',
    "the reader of load reports": JSON.stringify({
        version: "v1",
        engineClass: "g3",
        waiting: 0,
        running: 0,
        waitingTokens: 0,
        atMs: 1,
    }),
    "the reader of engines' setups": JSON.stringify({ model: "m", version: "v1", adapters: [], role: "both", loading: false }),
};

/** State of a scenario of this file. */
interface PartialScenario extends Scenario {
    partialRelay: RelayFixture;
    partialServer: ByteServer;
    partialAnswer: CallerAnswer;
    partialContent: string;
    partialErrors: unknown[];
}

After(async function(this: PartialScenario) {
    await this.partialRelay?.stop();
    this.partialServer?.close();
});

Given(
    /^a relay whose (server|peer) sends a part of an answer to an upload that it does not read, and ends the connection$/,
    async function(this: PartialScenario, receiver: string) {
        const answer = (head: string) => ({ bytes: `${formatHead(head, "200")}\r\n${EVENT}`, end: ConnectionEnd.LateReset });
        this.partialServer = new ByteServer(answer, true);
        await startRelay(this, receiver);
    },
);

Given(
    /^a relay whose (server|peer) answers each first call with status (\d+)$/,
    async function(this: PartialScenario, receiver: string, status: string) {
        let calls = 0;
        this.partialServer = new ByteServer(head => {
            calls += 1;
            const bytes = `${formatHead(head, calls === 1 ? status : "200")}Content-Length: ${EVENT.length}\r\n\r\n${EVENT}`;
            return { bytes, end: ConnectionEnd.Open };
        });
        await startRelay(this, receiver);
    },
);

When("a {string} call with {int} bytes is sent", async function(this: PartialScenario, kind: string, bytes: number) {
    this.partialAnswer = await this.partialRelay.send({ path: PATH_BY_CALL_KIND[kind] ?? "", body: "x".repeat(bytes) });
});

Then(
    /^its caller gets (502|a cut stream|the answer), and the (?:server|peer) has got it (\d+) times$/,
    function(this: PartialScenario, outcome: string, times: string) {
        const { status, body, isComplete } = this.partialAnswer;
        assert.equal(status, outcome === "502" ? 502 : 200, body);
        assert.equal(isComplete, outcome !== "a cut stream");
        assert.equal(this.partialServer.headsByConnection.flat().length, Number(times));
        assert.deepEqual(this.partialRelay.errorLines, []);
    },
);

Then("each call came on a connection of its own", async function(this: PartialScenario) {
    await this.partialRelay.send({ path: PATH_BY_CALL_KIND.unsafe ?? "" });
    const [first = []] = this.partialServer.headsByConnection;
    assert.equal(first.length, 1);
});

Given(/^a server that sends an answer (with status 600|of which a part is missing)$/, async function(
    this: PartialScenario,
    fault: string,
) {
    this.partialServer = fault === "with status 600" ?
        new ByteServer(head => {
            const framing = `Content-Length: ${this.partialContent.length}\r\n\r\n`;
            return { bytes: formatHead(head, "600") + framing + this.partialContent, end: ConnectionEnd.Open };
        }) :
        new ByteServer(head => {
            return { bytes: `${formatHead(head, "200")}\r\n${this.partialContent}`, end: ConnectionEnd.LateReset };
        }, true);
    await this.partialServer.start();
});

When(/^(the (?:client|reader) of .+) asks it twice$/, async function(this: PartialScenario, client: string) {
    this.partialContent = CONTENT_BY_CLIENT[client] ?? "";
    const httpClient = new HttpClient();
    const log = new HttpKeyedLog(this.partialServer.address);
    this.partialErrors = [];
    for (const id of ["call-1", "call-2"]) {
        try {
            await ask(client, { httpClient, log, address: this.partialServer.address, id });
        }
        catch (error) {
            this.partialErrors.push(error);
        }
        // A connection that may be used again is idle by then.
        await sleep(IDLE_MS);
    }
    await Promise.all([httpClient.close(), log.close()]);
});

Then("both requests fail, each on a connection of its own", function(this: PartialScenario) {
    assert.equal(this.partialErrors.length, 2);
    assert.deepEqual(this.partialServer.headsByConnection.map(heads => heads.length), [1, 1]);
});

/** Sends one request with the client of a path. */
async function ask(
    client: string,
    { httpClient, log, address, id }: {
        readonly httpClient: HttpClient;
        readonly log: HttpKeyedLog;
        readonly address: string;
        readonly id: string;
    },
): Promise<void> {
    const { signal } = new AbortController();
    const body = Buffer.alloc(UPLOAD_BYTES);
    const vm: Vm = { id: "server-1", role: VmRole.Backend, address, failureDomain: "zone-a", state: VmState.Live };
    switch (client) {
        case "the client of engines":
            for await (const event of new HttpEngine(httpClient).generate(vm, { id, body, fromToken: 0 }, signal)) {
                assert.equal(event.kind, "token");
            }
            return;
        case "the client of plain services": {
            const request = { id, method: "POST", target: "/", contentType: undefined, idempotencyKey: undefined, body };
            await new HttpPlainService(httpClient).send(vm, request, signal);
            return;
        }
        case "the client of the keyed log":
            await log.append("topic", "key", body);
            return;
        case "the client of the log service":
            await new HttpLogService(httpClient, address).append("stream", body);
            return;
        case "the reader of load reports":
            await new HttpEngine(httpClient).readLoad(vm);
            return;
        case "the reader of engines' setups":
            await new HttpEngineControl(httpClient).readState(vm);
            return;
        default:
            assert.fail(`unknown client: ${client}`);
    }
}

/** Starts a relay with one server. A peer is asked for its answers where the relay does not reach the server. */
async function startRelay(scenario: PartialScenario, receiver: string): Promise<void> {
    await scenario.partialServer.start();
    const { address } = scenario.partialServer;
    const isPeer = receiver === "peer";
    const serverAddress = isPeer ? `127.0.0.1:${REFUSING_PORT}` : address;
    scenario.partialRelay = new RelayFixture();
    scenario.partialRelay.limits = LIMITS;
    await scenario.partialRelay.start([], false, store => {
        store.put("keyed.servers", "engine-1", new EngineServer("engine-1").serverEntry("service", { Address: serverAddress }));
        // A repetition needs another server.
        store.put("keyed.servers", "engine-2", new EngineServer("engine-2").serverEntry("service", { Address: serverAddress }));
        if (isPeer) {
            store.put("keyed.nodes", "entry-2", { address, failureDomain: "zone-a", cores: 1 });
        }
    });
}

/** Formats the head of an answer without its framing; it states the id of the request in the headers of all paths. */
function formatHead(head: string, status: string): string {
    const id = /\r\n(?:request-id|x-request-id|foxtailrail-call): ([^\r]*)/i.exec(head)?.[1] ?? "";
    return `HTTP/1.1 ${status} Status\r\nRequest-Id: ${id}\r\nX-Request-Id: ${id}\r\nResponse-Seal: seal\r\n`;
}
