/**
 * Steps about the system clock.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { SystemClock } from "../../src/state/relay/mod.js";
import { holdUp } from "../support/busy_node.js";
import type { Scenario } from "../support/world.js";

/** State of a scenario of this file. */
interface ClockScenario extends Scenario {
    earlySleeps: number;
    clock: SystemClock;
    caller: Socket;
    sleep: Promise<boolean>;
    reportedDelaysMs: number[];
}

When(
    "{int} sleeps of {int} ms begin after {int} ms of work each",
    async function(this: ClockScenario, count: number, sleepMs: number, workMs: number) {
        const clock = new SystemClock();
        this.earlySleeps = 0;
        for (let sleep = 0; sleep < count; sleep += 1) {
            const startMs = clock.now();
            while (clock.now() < startMs + workMs) {
                // Keeps the event loop busy.
            }
            const endMs = clock.now() + sleepMs;
            await clock.sleep(sleepMs);
            this.earlySleeps += clock.now() < endMs ? 1 : 0;
        }
    },
);

Then("none of them has ended before its time", function(this: ClockScenario) {
    assert.equal(this.earlySleeps, 0);
});

Given("a sleep of {int} ms that a byte on a connection cancels", async function(this: ClockScenario, sleepMs: number) {
    const cancelled = new AbortController();
    const server = createServer(socket => {
        socket.on("data", () => cancelled.abort());
        socket.on("end", () => server.close());
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    this.caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
    await once(server, "connection");
    this.sleep = new SystemClock().sleep(sleepMs, cancelled.signal);
});

When("the byte is sent and the event loop is held up for {int} ms", function(this: ClockScenario, holdUpMs: number) {
    this.caller.write("x");
    holdUp(holdUpMs);
});

Then("the sleep was cancelled", async function(this: ClockScenario) {
    const hasElapsed = await this.sleep;
    this.caller.end();
    assert.equal(hasElapsed, false);
});

Given("a clock that reports hold-ups", function(this: ClockScenario) {
    this.reportedDelaysMs = [];
    this.clock = new SystemClock(delayMs => this.reportedDelaysMs.push(delayMs));
});

When(
    "{int} sleeps of {int} ms begin and the event loop is held up for {int} ms",
    async function(this: ClockScenario, count: number, sleepMs: number, holdUpMs: number) {
        const sleeps = Array.from({ length: count }, () => this.clock.sleep(sleepMs));
        holdUp(holdUpMs);
        await Promise.all(sleeps);
    },
);

Then(
    "{int} hold-up is reported, of at least {int} ms",
    function(this: ClockScenario, reports: number, reportedMs: number) {
        assert.equal(this.reportedDelaysMs.length, reports);
        assert.ok(this.reportedDelaysMs.every(delayMs => delayMs >= reportedMs), this.reportedDelaysMs.join(", "));
    },
);
