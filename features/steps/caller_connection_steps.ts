/**
 * Steps about the connections of callers to an entry VM, over real loopback connections.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { type AnswerWriter, CallHandler, type IncomingCall } from "../../src/protocol/mod.js";
import { SystemClock } from "../../src/state/mod.js";
import { HttpServer } from "../../src/transport/mod.js";
import { HttpRelayAnswer } from "../../src/transport/relay/http_relay_answer.js";
import { waitFor } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Time after which a call has been read by the server, in milliseconds. */
const READ_MS = 40;

/** Handler that answers each call with its path after a time, fails for the path "/fails", and breaks off its answer for the path "/breaks". */
class EchoHandler extends CallHandler {
    constructor(private readonly processingMs: number) {
        super();
    }

    override async handle(call: IncomingCall, writer: AnswerWriter): Promise<void> {
        if (call.path === "/fails") {
            throw new Error("a fault inside the node");
        }
        if (call.path === "/breaks") {
            writer.writeHead({ status: 200, contentType: "text/plain" });
            await writer.write(Buffer.from("part"));
            await new Promise(resolve => setTimeout(resolve, READ_MS));
            writer.abort();
            return;
        }
        await new Promise(resolve => setTimeout(resolve, this.processingMs));
        writer.writeComplete({ status: 200, contentType: "text/plain" }, Buffer.from(`answer to ${call.path}\n`));
    }
}

/** State of a scenario of this file. */
interface ConnectionScenario extends Scenario {
    callerServer: HttpServer;
    callerPort: number;
    callerSockets: Socket[];
    received: string;
    isClosed: boolean;
    socketErrorCode: string | undefined;
    relayServer: Server | undefined;
}

After(function(this: ConnectionScenario) {
    this.callerServer?.close();
    this.relayServer?.close();
    this.relayServer?.closeAllConnections();
    for (const socket of this.callerSockets ?? []) {
        socket.destroy();
    }
});

async function startServer(scenario: ConnectionScenario, processingMs: number): Promise<void> {
    scenario.callerSockets = [];
    scenario.callerServer = new HttpServer({
        clock: new SystemClock(),
        node: "entry-1",
        handler: new EchoHandler(processingMs),
        operationsPage: path => path === "/metrics" ? Promise.reject(new Error("a fault of a page")) : Promise.resolve(undefined),
    });
    scenario.callerPort = await scenario.callerServer.listen("127.0.0.1", 0);
}

async function sendBytes(scenario: ConnectionScenario, bytes: string): Promise<void> {
    const socket = connect({ host: "127.0.0.1", port: scenario.callerPort });
    scenario.callerSockets.push(socket);
    scenario.received = "";
    scenario.isClosed = false;
    socket.on("data", data => {
        scenario.received += data.toString("latin1");
    });
    socket.on("error", (error: NodeJS.ErrnoException) => {
        scenario.socketErrorCode = error.code;
    });
    socket.on("close", () => {
        scenario.isClosed = true;
    });
    await once(socket, "connect");
    socket.write(bytes);
}

function formatCalls(count: number): string {
    return Array.from(
        { length: count },
        (value, index) => `POST /${index + 1} HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody`,
    )
        .join("");
}

Given(/^an HTTP server in which (?:the handler|the operations page) fails$/, async function(this: ConnectionScenario) {
    await startServer(this, 1);
});

Given("an HTTP server whose calls take {int} ms", async function(this: ConnectionScenario, processingMs: number) {
    await startServer(this, processingMs);
});

Given("an HTTP server of an entry VM that breaks off an answer without a length", async function(this: ConnectionScenario) {
    await startServer(this, 1);
});

Given("an HTTP server of a relay node that breaks off an answer without a length", async function(this: ConnectionScenario) {
    this.callerSockets = [];
    this.relayServer = createServer((request, response) => {
        const answer = new HttpRelayAnswer(response, { closesConnection: () => false });
        request.resume();
        answer.start(200, ["content-type", "text/event-stream"]);
        void answer.write(Buffer.from("part"));
        setTimeout(() => answer.abort(), READ_MS);
    });
    this.relayServer.listen(0, "127.0.0.1");
    await once(this.relayServer, "listening");
    this.callerPort = (this.relayServer.address() as AddressInfo).port;
});

When(/^a connection sends a call of HTTP\/1\.0$/, async function(this: ConnectionScenario) {
    await sendBytes(this, "POST /breaks HTTP/1.0\r\nhost: x\r\ncontent-length: 4\r\n\r\nbody");
    await waitFor("the connection is closed", () => this.isClosed);
});

Then("the connection is reset", function(this: ConnectionScenario) {
    assert.match(this.received, /part$/);
    assert.equal(this.socketErrorCode, "ECONNRESET");
});

When(/^a connection sends "((?:GET|POST) [^"]+)"$/, async function(this: ConnectionScenario, line: string) {
    const [head, body] = line.startsWith("POST") ? ["content-length: 4\r\n", "body"] : ["", ""];
    await sendBytes(this, `${line} HTTP/1.1\r\nhost: x\r\n${head}\r\n${body}`);
    await waitFor("the connection has an answer", () => this.received.includes("}"));
});

When("a connection sends {int} calls and a malformed message at once", async function(this: ConnectionScenario, count: number) {
    await sendBytes(this, `${formatCalls(count)}NOT HTTP\r\n\r\n`);
    await waitFor("the connection is closed", () => this.isClosed);
});

When(
    "a connection sends {int} calls and a call that asks for a tunnel at once",
    async function(this: ConnectionScenario, count: number) {
        await sendBytes(this, `${formatCalls(count)}CONNECT x:80 HTTP/1.1\r\nhost: x:80\r\n\r\n`);
        await waitFor("the connection is closed", () => this.isClosed);
    },
);

When(
    "a connection sends {int} calls at once, and the server stops accepting",
    async function(this: ConnectionScenario, count: number) {
        await sendBytes(this, formatCalls(count));
        await new Promise(resolve => setTimeout(resolve, READ_MS));
        await this.callerServer.stopAccepting();
        await waitFor("the connection is closed", () => this.isClosed);
    },
);

Then(
    "the connection gets status {int} with executed {string}",
    function(this: ConnectionScenario, status: number, executed: string) {
        assert.match(this.received, new RegExp(`^HTTP/1.1 ${status} `));
        const problem = JSON.parse(this.received.slice(this.received.indexOf("{"))) as { readonly executed: string };
        assert.equal(problem.executed, executed);
    },
);

Then("the server buffers no body of the connection", function(this: ConnectionScenario) {
    assert.equal(this.callerServer.bodyBytes, 0);
});

Then("a further call gets its answer", async function(this: ConnectionScenario) {
    await sendBytes(this, formatCalls(1));
    await waitFor("the answer is received", () => this.received.includes("answer to /1\n"));
});

Then(
    "the connection gets the answers of {int} calls in order, then status {int}, and is closed",
    function(this: ConnectionScenario, count: number, status: number) {
        const statuses = [...Array.from({ length: count }, () => "200"), String(status)];
        assert.deepEqual(listStatuses(this.received), statuses, this.received);
        assertInOrder(this.received, count);
    },
);

Then(
    "the connection gets the answers of {int} calls in order, and is closed",
    function(this: ConnectionScenario, count: number) {
        assert.deepEqual(listStatuses(this.received), Array.from({ length: count }, () => "200"), this.received);
        assertInOrder(this.received, count);
    },
);

function listStatuses(received: string): readonly string[] {
    return [...received.matchAll(/HTTP\/1\.1 (\d+) /g)].map(([, status]) => status ?? "");
}

function assertInOrder(received: string, count: number): void {
    const paths = [...received.matchAll(/answer to \/(\d+)\n/g)].map(([, path]) => Number(path));
    assert.deepEqual(paths, Array.from({ length: count }, (value, index) => index + 1));
}
