/**
 * Steps about clients whose event loop is held up.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { HttpKeyedLog } from "../../platform/mod.js";
import { HttpExchange } from "../../src/transport/http_exchange.js";
import { HttpClient, probeConnection } from "../../src/transport/relay/mod.js";
import type { Scenario } from "../support/world.js";

/** Answer of the log to a read of a topic without records: the end offset and the first retained offset. */
const EMPTY_PAGE = Buffer.alloc(16);

/** Answer of the log to a read of the newest records of a topic without any. */
const EMPTY_NEWEST_PAGE = JSON.stringify({ Items: [], More: false, End: 0 });

/** State of a scenario of this file. */
interface HeldUpClientScenario extends Scenario {
    answeringServer: Server;
    heldUpAddress: string;
    /** How the attempt ended; `undefined` if it succeeded. */
    attemptError: unknown;
    attemptMs: number;
}

/** Keeps the event loop busy for a time in milliseconds. */
function holdUp(durationMs: number): void {
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
        // Nothing else runs meanwhile.
    }
}

async function startServer(scenario: HeldUpClientScenario, listener: RequestListener): Promise<void> {
    scenario.answeringServer = createServer(listener).listen(0, "127.0.0.1");
    await once(scenario.answeringServer, "listening");
    scenario.heldUpAddress = `127.0.0.1:${(scenario.answeringServer.address() as AddressInfo).port}`;
}

After(function(this: HeldUpClientScenario) {
    this.answeringServer?.close();
    this.answeringServer?.closeAllConnections();
});

Given("a server that answers at once", async function(this: HeldUpClientScenario) {
    await startServer(this, (request, response) => response.end());
});

Given(
    "a log that answers, and holds the event loop up for {int} ms then",
    async function(this: HeldUpClientScenario, holdUpMs: number) {
        await startServer(this, (request, response) => {
            response.end(request.url?.startsWith("/-/log-newest") ? EMPTY_NEWEST_PAGE : EMPTY_PAGE);
            holdUp(holdUpMs);
        });
    },
);

Given("a log that does not answer", async function(this: HeldUpClientScenario) {
    await startServer(this, () => undefined);
});

async function callOnNewConnection(address: string, connectTimeoutMs: number): Promise<void> {
    const client = new HttpClient(connectTimeoutMs);
    try {
        const request = { method: "GET", path: "/", headers: [] };
        await new HttpExchange(client.pool(address), request, new AbortController().signal).awaitHead();
    }
    finally {
        await client.close();
    }
}

When(
    /^(a call on a new connection|a probe of a server) with a limit of (\d+) ms is made, and the event loop is held up for (\d+) ms$/,
    async function(this: HeldUpClientScenario, attempt: string, limitMs: string, holdUpMs: string) {
        const result = attempt === "a probe of a server" ?
            probeConnection(this.heldUpAddress, Number(limitMs)).then(isOpen => assert(isOpen, "no connection")) :
            callOnNewConnection(this.heldUpAddress, Number(limitMs));
        process.nextTick(() => holdUp(Number(holdUpMs)));
        this.attemptError = await result.catch((error: unknown) => error);
    },
);

When(
    /^(a read of the log|a read of the newest records|an append) with a limit of (\d+) ms is made$/,
    async function(this: HeldUpClientScenario, read: string, limitMs: string) {
        const log = new HttpKeyedLog(this.heldUpAddress);
        const settings = { answerTimeoutMs: Number(limitMs) };
        const startedMs = performance.now();
        const result: Promise<unknown> = read === "an append" ?
            log.append("topic", "key", Buffer.from("value")) :
            read === "a read of the log" ?
            log.read("topic", 0, settings) :
            log.readNewest("topic", settings);
        this.attemptError = await result.then(() => undefined, (error: unknown) => error);
        this.attemptMs = performance.now() - startedMs;
        await log.close();
    },
);

Then("the attempt has succeeded", function(this: HeldUpClientScenario) {
    assert.equal(this.attemptError, undefined);
});

Then("the attempt has failed within {int} ms", function(this: HeldUpClientScenario, endMs: number) {
    assert(this.attemptError instanceof Error);
    assert(this.attemptMs <= endMs, `after ${Math.round(this.attemptMs)} ms`);
});
