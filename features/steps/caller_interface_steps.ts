/**
 * Steps for HTTP to callers and backend servers, over real loopback connections.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { type AnswerWriter, CallHandler, DispatchError, type IncomingCall } from "../../src/protocol/mod.js";
import { SystemClock, type Vm, VmRole, VmState } from "../../src/state/mod.js";
import { HttpClient, HttpEngine, HttpPlainService, HttpServer } from "../../src/transport/mod.js";
import type { Scenario } from "../support/world.js";

/** Timeout for the headers and for the body of a call, in milliseconds. */
const REQUEST_TIMEOUT_MS = 300;

/** Interval between two checks of a condition, in milliseconds. */
const POLL_INTERVAL_MS = 10;

/** Timeout for a condition, in milliseconds. */
const CONDITION_TIMEOUT_MS = 30_000;

/** Time after which a request to a server that never answers is cancelled, in milliseconds. */
const CANCEL_AFTER_MS = 200;

/** Handler that runs a script given by the scenario. */
class ScriptedHandler extends CallHandler {
    callCount = 0;
    writtenBytes = 0;
    ended = false;

    constructor(private readonly script: (writer: AnswerWriter, handler: ScriptedHandler, call: IncomingCall) => Promise<void>) {
        super();
    }

    override async handle(call: IncomingCall, writer: AnswerWriter): Promise<void> {
        this.callCount += 1;
        await this.script(writer, this, call);
        this.ended = true;
    }
}

/** Connections, servers and collected results of one scenario. */
class HttpFixture {
    callHandler: ScriptedHandler | undefined;
    server: HttpServer | undefined;
    port = 0;
    backendServer: Server | undefined;
    backendPort = 0;
    readonly client = new HttpClient();
    readonly sockets: Socket[] = [];
    readonly replies: string[] = [];
    readonly errors: unknown[] = [];
    eventKinds: readonly string[] = [];

    /** Starts the HTTP server under test with a handler. */
    async startServer(handler: ScriptedHandler): Promise<void> {
        this.callHandler = handler;
        this.server = new HttpServer({
            clock: new SystemClock(),
            node: "entry-1",
            handler,
            operationsPage: () => Promise.resolve(undefined),
            limits: {
                maxBodyBytes: 1_000,
                maxHeldBodyBytes: 3_000,
                headersTimeoutMs: REQUEST_TIMEOUT_MS,
                bodyTimeoutMs: REQUEST_TIMEOUT_MS,
            },
        });
        this.port = await this.server.listen("127.0.0.1", 0);
    }

    /** Opens a connection and collects what it receives in `replies`. */
    openConnection(): Socket {
        const socket = connect({ host: "127.0.0.1", port: this.port });
        const index = this.replies.push("") - 1;
        socket.on("data", chunk => {
            this.replies[index] += chunk.toString("latin1");
        });
        socket.on("error", () => socket.destroy());
        this.sockets.push(socket);
        return socket;
    }

    /** Starts a backend server on a free port. */
    async startBackend(answer: (request: IncomingMessage, response: ServerResponse) => void): Promise<void> {
        this.backendServer = createServer(answer);
        this.backendServer.listen(0, "127.0.0.1");
        await once(this.backendServer, "listening");
        this.backendPort = (this.backendServer.address() as AddressInfo).port;
    }

    /** Closes all connections and servers. */
    async close(): Promise<void> {
        for (const socket of this.sockets) {
            socket.destroy();
        }
        this.server?.close();
        await this.client.close();
        this.backendServer?.closeAllConnections();
        this.backendServer?.close();
    }
}

/** Fixtures by scenario, created on first use. */
const fixtures = new WeakMap<Scenario, HttpFixture>();

function fixtureOf(scenario: Scenario): HttpFixture {
    let fixture = fixtures.get(scenario);
    if (fixture === undefined) {
        fixture = new HttpFixture();
        fixtures.set(scenario, fixture);
    }
    return fixture;
}

After(async function(this: Scenario) {
    await fixtures.get(this)?.close();
});

Given("an HTTP server with a limit of 1000 bytes for one body and 3000 bytes for all bodies", async function(this: Scenario) {
    await fixtureOf(this).startServer(
        new ScriptedHandler(async writer => writer.writeComplete({ status: 200, contentType: "text/plain" }, Buffer.alloc(0))),
    );
});

Given(
    "an HTTP server whose handler writes {int} chunks of {int} bytes",
    async function(this: Scenario, count: number, size: number) {
        const chunk = Buffer.alloc(size);
        await fixtureOf(this).startServer(
            new ScriptedHandler(async (writer, handler, call) => {
                writer.writeHead({ status: 200, contentType: "text/plain" });
                for (let index = 0; index < count && !call.abortController.signal.aborted; index++) {
                    handler.writtenBytes += size;
                    await writer.write(chunk);
                    await new Promise(resolve => {
                        setImmediate(resolve);
                    });
                }
            }),
        );
    },
);

Given("an HTTP server whose handler aborts after its first chunk", async function(this: Scenario) {
    await fixtureOf(this).startServer(
        new ScriptedHandler(async writer => {
            writer.writeHead({ status: 200, contentType: "text/plain" });
            await writer.write(Buffer.from("first"));
            await new Promise(resolve => {
                setImmediate(resolve);
            });
            writer.abort();
        }),
    );
});

Given(/^a backend server over HTTP that (.*)$/, async function(this: Scenario, fault: string) {
    const fixture = fixtureOf(this);
    await fixture.startBackend(makeFaultyBackend(fault));
    if (fault === "refuses the connection") {
        fixture.backendServer?.close();
        await once(fixture.backendServer as Server, "close");
    }
});

When(
    /^a connection sends (a body of 1001 bytes|a chunked body of 1001 bytes|101 headers|a header of 40000 bytes|"NOT HTTP"|half a body and then nothing)$/,
    async function(
        this: Scenario,
        bytes: string,
    ) {
        const fixture = fixtureOf(this);
        fixture.openConnection().write(formatInvalidCall(bytes));
        await waitUntil(() => fixture.replies[0].includes("}"));
    },
);

When("{int} connections each send {int} bytes of a body and wait", async function(this: Scenario, count: number, size: number) {
    const fixture = fixtureOf(this);
    for (let index = 0; index < count; index++) {
        fixture.openConnection().write(`POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n${"b".repeat(size)}`);
    }
    await waitUntil(() => fixture.replies.some(reply => reply.includes("overloaded")));
});

When("a connection sends half a body and closes", async function(this: Scenario) {
    const fixture = fixtureOf(this);
    const socket = fixture.openConnection();
    socket.write("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\nhalf");
    await waitUntil(() => (fixture.server?.bodyBytes ?? 0) > 0);
    socket.destroy();
    await waitUntil(() => fixture.server?.connections === 0);
});

When("a connection sends a call and reads nothing", async function(this: Scenario) {
    const fixture = fixtureOf(this);
    const socket = fixture.openConnection();
    socket.pause();
    socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    await waitUntil(() => (fixture.callHandler?.writtenBytes ?? 0) > 0);
    await waitUntilStable(() => fixture.callHandler?.writtenBytes ?? 0);
});

When("a connection sends a call and reads to the end", async function(this: Scenario) {
    const fixture = fixtureOf(this);
    const socket = fixture.openConnection();
    socket.write("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    await once(socket, "close");
});

When("the adapter for {string} sends a request", async function(this: Scenario, kind: string) {
    const fixture = fixtureOf(this);
    fixture.errors.push(await sendBackendRequest(fixture, kind, "request-1", AbortSignal.timeout(CANCEL_AFTER_MS)));
});

When('the adapter for "engine" reads the stream to its end', async function(this: Scenario) {
    const fixture = fixtureOf(this);
    fixture.eventKinds = await readEventKinds(fixture, AbortSignal.timeout(CANCEL_AFTER_MS));
});

Then("it gets 2 tokens and the end", function(this: Scenario) {
    assert.deepEqual(fixtureOf(this).eventKinds, ["token", "token", "end"]);
});

When("{int} requests are sent to it at the same time", async function(this: Scenario, count: number) {
    const fixture = fixtureOf(this);
    const sends = Array.from({ length: count }, (value, index) => {
        return sendBackendRequest(fixture, "service", `request-${index}`, new AbortController().signal);
    });
    fixture.errors.push(...await Promise.all(sends));
});

Then(
    "the connection gets status {int} with problem {string} and field {string}",
    function(this: Scenario, status: number, type: string, field: string) {
        const [reply] = fixtureOf(this).replies;
        assert.match(reply, new RegExp(`^HTTP/1.1 ${status} `));
        const problem = JSON.parse(reply.slice(reply.indexOf("{"))) as {
            readonly type: string;
            readonly field: string;
            readonly executed: string;
        };
        assert.deepEqual([problem.type, problem.field, problem.executed], [`urn:foxtailrail:problem:${type}`, field, "no"]);
    },
);

Then("no call reaches the handler", function(this: Scenario) {
    assert.equal(fixtureOf(this).callHandler?.callCount, 0);
});

Then("the server buffers no body", async function(this: Scenario) {
    await waitUntil(() => fixtureOf(this).server?.bodyBytes === 0);
});

Then("the server buffers at most {int} bytes of bodies", function(this: Scenario, bytes: number) {
    assert.ok((fixtureOf(this).server?.bodyBytes ?? Infinity) <= bytes);
});

Then("one of the connections is refused as {string} with a Retry-After header", function(this: Scenario, type: string) {
    const refused = fixtureOf(this).replies.filter(reply => reply.includes(`urn:foxtailrail:problem:${type}`));
    assert.equal(refused.length, 1);
    assert.match(refused[0], /retry-after: \d+/i);
});

Then("the handler blocks with at most {int} bytes not yet accepted by the connection", function(this: Scenario, bytes: number) {
    const { callHandler } = fixtureOf(this);
    assert.equal(callHandler?.ended, false);
    // The operating system's socket buffers at both ends of the connection absorb part of the written bytes.
    assert.ok((callHandler?.writtenBytes ?? Infinity) <= bytes + maxSocketBufferBytes());
});

Then("the handler ends when the connection closes", async function(this: Scenario) {
    const fixture = fixtureOf(this);
    fixture.sockets[0].destroy();
    await waitUntil(() => fixture.callHandler?.ended === true);
});

Then("the answer has its first chunk and no terminating chunk", function(this: Scenario) {
    const [reply] = fixtureOf(this).replies;
    assert.ok(reply.includes("first"));
    assert.ok(!reply.includes("\r\n0\r\n\r\n"));
});

Then("the dispatch fails as {string} with executed {string}", function(this: Scenario, fault: string, executed: string) {
    const [error] = fixtureOf(this).errors;
    assert.ok(error instanceof DispatchError, String(error));
    assert.deepEqual([error.fault, error.executed, error.peer], [fault, executed, "backend-1"], error.message);
});

Then("each request gets its own answer or fails as {string}", function(this: Scenario, fault: string) {
    for (const error of fixtureOf(this).errors) {
        assert.ok(error === undefined || error instanceof DispatchError && error.fault === fault, String(error));
    }
});

Then("{int} requests failed as {string}", function(this: Scenario, count: number, fault: string) {
    const failed = fixtureOf(this).errors.filter(error => error instanceof DispatchError && error.fault === fault);
    assert.equal(failed.length, count);
});

/** Returns the maximum total size of the socket buffers at both ends of a loopback connection, in bytes. */
function maxSocketBufferBytes(): number {
    return 10_000_000;
}

function formatInvalidCall(bytes: string): string {
    const line = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n";
    switch (bytes) {
        case "a body of 1001 bytes":
            return `${line}content-length: 1001\r\n\r\n${"b".repeat(1_001)}`;
        case "a chunked body of 1001 bytes":
            return `${line}transfer-encoding: chunked\r\n\r\n3e9\r\n${"b".repeat(1_001)}\r\n0\r\n\r\n`;
        case "101 headers":
            return `${line}${Array.from({ length: 100 }, (value, index) => `x-${index}: 1\r\n`).join("")}\r\n`;
        case "a header of 40000 bytes":
            return `${line}x-large: ${"h".repeat(40_000)}\r\n\r\n`;
        case '"NOT HTTP"':
            return "NOT HTTP\r\n\r\n";
        default:
            return `${line}content-length: 1000\r\n\r\nhalf`;
    }
}

/** Line ends of server-sent events. */
const LINE_ENDS: Readonly<Record<string, string>> = { LF: "\n", CRLF: "\r\n", CR: "\r" };

/** Streams two tokens and the end with the given line ends, in chunks of the given size. */
async function streamTokens(
    response: ServerResponse,
    id: string,
    format: { readonly ending: string; readonly chunkBytes: number },
) {
    const events = [
        { id, token: { index: 0, text: "t" } },
        { id, token: { index: 1, text: "t" } },
        { id, end: { finishReason: "stop", cachedTokens: 0, promptTokens: 1, outputTokens: 2 } },
    ];
    const lineEnd = LINE_ENDS[format.ending] ?? "";
    const text = events.map(event => `data: ${JSON.stringify(event)}${lineEnd}${lineEnd}`).join("");
    response.writeHead(200, { "content-type": "text/event-stream", "x-request-id": id });
    for (let position = 0; position < text.length; position += format.chunkBytes) {
        await new Promise(resolve => response.write(text.slice(position, position + format.chunkBytes), resolve));
    }
}

function makeFaultyBackend(fault: string): (request: IncomingMessage, response: ServerResponse) => void {
    const pending: ServerResponse[] = [];
    return (request, response) => {
        const id = String(request.headers["x-request-id"]);
        const stream = { "content-type": "text/event-stream", "x-request-id": id };
        const format = /^streams two tokens with lines ending with (\w+) in chunks of (\d+) bytes$/.exec(fault) ?? undefined;
        if (format !== undefined) {
            void streamTokens(response, id, { ending: format[1] ?? "", chunkBytes: Number(format[2]) });
            return;
        }
        const token = (index: number) => `data: ${JSON.stringify({ id, token: { index, text: "t" } })}\n\n`;
        switch (fault) {
            case "closes after the request line":
                request.socket.destroy();
                return;
            case "answers with status 500":
                response.writeHead(500).end();
                return;
            case "answers with another id":
                response.writeHead(200, { ...stream, "x-request-id": "other" });
                response.end(`data: ${JSON.stringify({ id: "other", token: { index: 0, text: "t" } })}\n\n`);
                return;
            case "drops the connection after two tokens":
            case "drops the connection in the body":
                response.writeHead(200, stream);
                response.write(token(0) + token(1), () => response.destroy());
                return;
            case "ends cleanly after two tokens":
                response.writeHead(200, stream).end(token(0) + token(1));
                return;
            case "sends an event that is not JSON":
                response.writeHead(200, stream).end("data: {\n\n");
                return;
            case "swaps the answers of every two requests":
                response.setHeader("x-request-id", id);
                pending.push(response);
                swapAnswers(pending);
                return;
            default:
                // The request is never answered.
        }
    };
}

function swapAnswers(pending: ServerResponse[]): void {
    if (pending.length < 2) {
        return;
    }
    const [first, second] = pending.splice(0, 2);
    const firstId = String(first.getHeader("x-request-id"));
    first.setHeader("x-request-id", String(second.getHeader("x-request-id")));
    second.setHeader("x-request-id", firstId);
    first.end("answer");
    second.end("answer");
}

function backendVm(fixture: HttpFixture): Vm {
    return {
        id: "backend-1",
        role: VmRole.Backend,
        address: `127.0.0.1:${fixture.backendPort}`,
        failureDomain: "sul-a",
        state: VmState.Live,
    };
}

/** Sends one request; returns its error, or `undefined` when it was answered completely. */
async function sendBackendRequest(fixture: HttpFixture, kind: string, id: string, signal: AbortSignal): Promise<unknown> {
    const vm = backendVm(fixture);
    try {
        if (kind === "service") {
            const request = {
                id,
                method: "GET",
                target: "/",
                contentType: undefined,
                idempotencyKey: undefined,
                body: Buffer.alloc(0),
            };
            await new HttpPlainService(fixture.client).send(vm, request, signal);
            return undefined;
        }
        for await (
            const event of new HttpEngine(fixture.client).generate(vm, { id, body: Buffer.from("{}"), fromToken: 0 }, signal)
        ) {
            assert.equal(event.kind, "token");
        }
        return undefined;
    }
    catch (error) {
        return error;
    }
}

/** Reads an engine's stream; returns the kinds of its events. */
async function readEventKinds(fixture: HttpFixture, signal: AbortSignal): Promise<readonly string[]> {
    const request = { id: "call-1", body: Buffer.from("{}"), fromToken: 0 };
    const kinds: string[] = [];
    for await (const event of new HttpEngine(fixture.client).generate(backendVm(fixture), request, signal)) {
        kinds.push(event.kind);
    }
    return kinds;
}

async function waitUntil(condition: () => boolean): Promise<void> {
    const timeoutAtMs = Date.now() + CONDITION_TIMEOUT_MS;
    while (!condition()) {
        assert.ok(Date.now() < timeoutAtMs, `The condition was not met within ${CONDITION_TIMEOUT_MS} ms`);
        await waitPollInterval();
    }
}

/** Waits until a value has not changed for 30 consecutive checks. */
async function waitUntilStable(read: () => number): Promise<void> {
    let last = read();
    for (let unchangedChecks = 0; unchangedChecks < 30; unchangedChecks++) {
        await waitPollInterval();
        if (read() !== last) {
            last = read();
            unchangedChecks = 0;
        }
    }
}

function waitPollInterval(): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, POLL_INTERVAL_MS);
    });
}
