/**
 * Steps about the ids that kept connections carry.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { Pool } from "undici";
import { DispatchStep } from "../../src/protocol/relay/mod.js";
import { AddressConnections } from "../../src/transport/address_connections.js";
import type { HttpExchange } from "../../src/transport/http_exchange.js";
import type { Scenario } from "../support/world.js";

/** Signal that is never aborted. */
const UNSIGNALLED = new AbortController().signal;

/** State of a scenario of this file. */
interface KeptScenario extends Scenario {
    keptServer: Server;
    connections: AddressConnections;
    /** Ids that each connection has carried. */
    idsBySocket: Map<Socket, string[]>;
    waitingCall: HttpExchange;
    waitingError: unknown;
}

After(async function(this: KeptScenario) {
    await this.connections?.destroy();
    this.keptServer?.close();
});

Given("a receiver that answers with status {int}", async function(this: KeptScenario, status: number) {
    this.idsBySocket = new Map();
    this.keptServer = createServer((request, response) => {
        const ids = this.idsBySocket.get(request.socket) ?? [];
        this.idsBySocket.set(request.socket, [...ids, String(request.headers["request-id"])]);
        response.writeHead(status, { "Content-Length": 0 }).end();
    });
    await new Promise<void>(resolve => this.keptServer.listen(0, "127.0.0.1", resolve));
    const { port } = this.keptServer.address() as AddressInfo;
    this.connections = new AddressConnections(
        () => new Pool(`http://127.0.0.1:${port}`, { connections: 1, pipelining: 1 }),
        () => undefined,
    );
});

When(
    /^(\d+) calls are sent one after the other, (each id twice|(?:\d+) ids in turn)(|, and their answers are not used)$/,
    async function(this: KeptScenario, count: string, order: string, unused: string) {
        for (let call = 0; call < Number(count); call += 1) {
            const id = order === "each id twice" ? Math.floor(call / 2) : call % Number.parseInt(order, 10);
            const exchange = send(this, `call-${id}`);
            await exchange.awaitHead();
            if (unused !== "") {
                exchange.recordUnused();
            }
            await exchange.readWhole(Infinity);
            await new Promise(resolve => setImmediate(resolve));
        }
    },
);

When("a call waits for the only connection, and one with its id is answered there", async function(this: KeptScenario) {
    const first = send(this, "call-1");
    this.waitingCall = send(this, "call-1");
    await first.awaitHead();
    this.waitingError = await this.waitingCall.awaitHead().catch((error: unknown) => error);
});

Then("it fails as not sent", function(this: KeptScenario) {
    assert(this.waitingError instanceof Error, "it did not fail");
    assert.equal(this.waitingCall.reachedStep, DispatchStep.Connect);
});

Then("no connection has carried an id twice", function(this: KeptScenario) {
    for (const ids of this.idsBySocket.values()) {
        assert.equal(new Set(ids).size, ids.length, `a connection has carried ${ids.join(", ")}`);
    }
});

Then("at most {int} connections were opened", function(this: KeptScenario, most: number) {
    assert(this.idsBySocket.size <= most, `${this.idsBySocket.size} connections were opened`);
});

function send({ connections }: KeptScenario, id: string): HttpExchange {
    return connections.send(id, { method: "POST", path: "/", headers: { "request-id": id } }, UNSIGNALLED);
}
