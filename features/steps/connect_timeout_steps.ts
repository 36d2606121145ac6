/**
 * Steps about the time limit of attempts to connect.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { DispatchStep } from "../../src/protocol/relay/mod.js";
import { HttpClient } from "../../src/transport/http_client.js";
import { HttpExchange } from "../../src/transport/http_exchange.js";
import { probeConnection } from "../../src/transport/relay/mod.js";
import { holdUp } from "../support/busy_node.js";
import { StoppedListener } from "../support/stopped_listener.js";
import type { Scenario } from "../support/world.js";

/** Number of tasks after which the attempts to connect have begun. */
const QUEUED_TASKS = 20;

/** Attempt that failed. */
interface FailedAttempt {
    readonly elapsedMs: number;
    readonly step: DispatchStep;
}

/** State of a scenario of this file. */
interface ConnectScenario extends Scenario {
    listener: StoppedListener;
    connectClient: HttpClient;
    failedAttempts: FailedAttempt[];
    openServer: Server;
    outcomes: readonly boolean[];
}

Given("a process that listens and never accepts, with a full queue", async function(this: ConnectScenario) {
    this.listener = await StoppedListener.start();
});

When(
    "{int} requests with a connect timeout of {int} ms are sent to it",
    async function(this: ConnectScenario, count: number, timeoutMs: number) {
        this.connectClient = new HttpClient(timeoutMs);
        const pool = this.connectClient.pool(this.listener.address);
        this.failedAttempts = await Promise.all(Array.from({ length: count }, async () => {
            const startedMs = performance.now();
            const exchange = new HttpExchange(pool, { method: "GET", path: "/", headers: [] }, new AbortController().signal);
            await assert.rejects(exchange.awaitHead());
            return { elapsedMs: performance.now() - startedMs, step: exchange.reachedStep };
        }));
    },
);

Then("each of them fails within {int} ms before it was sent", function(this: ConnectScenario, limitMs: number) {
    for (const { elapsedMs, step } of this.failedAttempts) {
        assert.equal(step, DispatchStep.Connect);
        assert(elapsedMs <= limitMs, `failed after ${Math.round(elapsedMs)} ms`);
    }
});

Given("a server that listens", async function(this: ConnectScenario) {
    this.openServer = createServer((request, response) => response.end());
    await new Promise<void>(resolve => this.openServer.listen(0, "127.0.0.1", resolve));
});

When(
    /^(\d+) (requests|probes) with a limit of (\d+) ms begin, and the event loop is held up for (\d+) ms$/,
    async function(this: ConnectScenario, count: string, kind: string, timeoutMs: string, holdUpMs: string) {
        const address = `127.0.0.1:${(this.openServer.address() as AddressInfo).port}`;
        this.connectClient = new HttpClient(Number(timeoutMs));
        const pool = this.connectClient.pool(address);
        const attempts = Array.from({ length: Number(count) }, () => {
            if (kind === "probes") {
                return probeConnection(address, Number(timeoutMs));
            }
            const exchange = new HttpExchange(pool, { method: "GET", path: "/", headers: [] }, new AbortController().signal);
            return exchange.awaitHead().then(() => true, () => false);
        });
        // The attempts begin once all tasks that are queued have run.
        for (let task = 0; task < QUEUED_TASKS; task += 1) {
            await new Promise<void>(resolve => process.nextTick(resolve));
        }
        holdUp(Number(holdUpMs));
        this.outcomes = await Promise.all(attempts);
    },
);

Then(/^each of the (?:requests|probes) succeeds$/, function(this: ConnectScenario) {
    assert.deepEqual(this.outcomes, this.outcomes.map(() => true));
});

After(async function(this: ConnectScenario) {
    await this.connectClient?.close();
    this.listener?.close();
    this.openServer?.close();
});
