/**
 * Steps about callers of a relay node that keep to no limit, with the program's own process on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { request } from "node:http";
import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { EngineServer } from "../../platform/standin/engine_server.js";
import { RelayProgram } from "../support/relay_program.js";
import { RoughCrowd } from "../support/rough_callers.js";
import type { Scenario } from "../support/world.js";

/** Time limit of a step, in milliseconds. */
const STEP_TIMEOUT_MS = 90_000;

/** Time that an ordinary caller waits for one attempt, in milliseconds: a bound on hanging, not on speed. */
const ATTEMPT_MS = 15_000;

/** Attempts of an ordinary caller, each on a new connection. */
const ATTEMPTS = 4;

/** Time between two attempts, in milliseconds. */
const ATTEMPT_PAUSE_MS = 250;

/** Time for which a crowd stays before an ordinary call is sent, in milliseconds. */
const STAY_MS = 1_500;

/** Time for the program to end after SIGTERM, in milliseconds: a bound on hanging. */
const EXIT_MS = 40_000;

const BYTES_PER_MEGABYTE = 1_000_000;

/** Largest body that the configuration allows, in bytes. */
const MAX_BODY_BYTES = 4_194_304;

/** Headers of all calls. */
const HEADERS: Readonly<Record<string, string>> = {
    "Host": "app.example",
    "Request-Id": "rough",
    "Api-Key": "key-1",
    "Deadline-Ms": "60000",
};

/** State of a scenario of this file. */
interface CrowdScenario extends Scenario {
    crowdServer: EngineServer;
    crowdProgram: RelayProgram;
    crowd: RoughCrowd | undefined;
    crowdCalls: number;
    unfinishedAnswer: string | undefined;
}

After({ timeout: STEP_TIMEOUT_MS }, async function(this: CrowdScenario) {
    this.crowd?.leave();
    await this.crowdProgram?.stop();
    this.crowdServer?.close();
});

Given(
    "a relay program with a heap of {int} MB and memory of {int} MB",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: CrowdScenario, heapMegabytes: number, megabytes: number) {
        const flags = [`--max-old-space-size=${heapMegabytes}`, "--max-semi-space-size=4"];
        await startProgram(this, new RelayProgram(flags, { megabytes }));
    },
);

Given(
    "a relay program with memory of {int} MB and {int} descriptors",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: CrowdScenario, megabytes: number, descriptors: number) {
        const flags = ["--max-old-space-size=96", "--max-semi-space-size=4"];
        await startProgram(this, new RelayProgram(flags, { megabytes, descriptors }));
    },
);

Given("its server takes {int} ms for a call", function(this: CrowdScenario, processingMs: number) {
    this.crowdServer.processingMs = processingMs;
});

When(
    /^(\d+) callers send (.+) to the port for (callers|peers|readiness)$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: CrowdScenario, count: string, content: string, port: string) {
        const lines = Object.entries(HEADERS).map(([name, value]) => `${name}: ${value}`);
        const [address, path] = selectPort(this.crowdProgram, port);
        this.crowd = new RoughCrowd(address, path, content, Number(count), lines);
        await this.crowd.awaitStart();
        await pause(STAY_MS);
    },
);

When("the crowd leaves", function(this: CrowdScenario) {
    this.crowd?.leave();
});

Then("an ordinary call to the program is answered", { timeout: STEP_TIMEOUT_MS }, async function(this: CrowdScenario) {
    const outcomes: string[] = [];
    for (let attempt = 1; attempt <= ATTEMPTS; attempt += 1) {
        const outcome = await sendCall(this, {}, ["body"]);
        if (outcome === "200") {
            return;
        }
        outcomes.push(outcome);
        await pause(ATTEMPT_PAUSE_MS);
    }
    assert.fail(`its attempts ended with ${outcomes.join(", ")}`);
});

Then("the readiness check is answered", { timeout: STEP_TIMEOUT_MS }, async function(this: CrowdScenario) {
    const signal = AbortSignal.timeout(ATTEMPTS * ATTEMPT_MS);
    let status = 0;
    while (status !== 200 && !signal.aborted) {
        status = await fetch(`http://${this.crowdProgram.readinessAddress}/-/ready`, { signal }).then(
            ({ status }) => status,
            () => 0,
        );
        await pause(ATTEMPT_PAUSE_MS);
    }
    assert.equal(status, 200);
});

Then("the program has fewer than {int} descriptors", function(this: CrowdScenario, maxDescriptors: number) {
    const descriptors = this.crowdProgram.countDescriptors();
    assert(descriptors < maxDescriptors, `it has ${descriptors} descriptors`);
});

Then(
    "the program lives, has used less than {int} MB and answers SIGTERM",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: CrowdScenario, maxMegabytes: number) {
        const peakBytes = this.crowdProgram.readPeakMemory();
        assert(peakBytes !== undefined, "the program has ended");
        assert(peakBytes < maxMegabytes * BYTES_PER_MEGABYTE, `it has used ${Math.round(peakBytes / BYTES_PER_MEGABYTE)} MB`);
        this.crowdProgram.signal("SIGTERM");
        assert.equal(await Promise.race([this.crowdProgram.awaitExit(), pause(EXIT_MS, "hangs", { ref: false })]), 0);
    },
);

Then(/^a call with a head of (\d+) fields is answered$/, async function(this: CrowdScenario, count: string) {
    // The fields of the platform come last, behind all others.
    const fields = Array.from({ length: Number(count) }, (unused, index) => [`a${index.toString(36)}`, "b"] as const);
    assert.equal(await sendCall(this, Object.fromEntries(fields), ["body"]), "200");
});

Then(/^a call with a head of (\d+) prompt parts is answered$/, async function(this: CrowdScenario, count: string) {
    const parts = Array.from({ length: Number(count) }, (unused, index) => `${index.toString(16)}:1`);
    assert.equal(await sendCall(this, { "Prefix-Hash": parts.join(",") }, ["body"]), "200");
});

Then(
    /^a call with a body of (\d+) bytes in chunks of (\d+) is answered$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: CrowdScenario, bytes: string, size: string) {
        const count = Math.ceil(Number(bytes) / Number(size));
        const body = Array.from({ length: count }, () => "x".repeat(Number(size)));
        assert.equal(await sendCall(this, {}, body), "200");
    },
);

Then(/^a call with a body that pauses for (\d+) s is answered$/, async function(this: CrowdScenario, seconds: string) {
    assert.equal(await sendCall(this, {}, ["first", "second"], Number(seconds) * 1_000), "200");
});

When(/^a call whose caller waits for (\d+) ms stops within its body$/, async function(this: CrowdScenario, deadlineMs: string) {
    const lines = Object.entries({ ...HEADERS, "Deadline-Ms": deadlineMs }).map(([name, value]) => `${name}: ${value}`);
    const [host, port] = this.crowdProgram.callerAddress.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.write(["POST /safe/x HTTP/1.1", ...lines, "Transfer-Encoding: chunked", "", "4", "body", ""].join("\r\n"));
    socket.setEncoding("latin1").on("data", text => this.unfinishedAnswer = `${this.unfinishedAnswer ?? ""}${text}`);
    const closed = new Promise(resolve => socket.on("close", resolve).on("error", resolve));
    const isClosed = await Promise.race([closed.then(() => true), pause(ATTEMPT_MS, false)]);
    socket.destroy();
    assert(isClosed, "its connection stays open");
});

Then("it is answered with {int}, and its connection is closed", function(this: CrowdScenario, status: number) {
    assert(this.unfinishedAnswer?.startsWith(`HTTP/1.1 ${status} `), this.unfinishedAnswer);
});

Then("no call has reached the server", function(this: CrowdScenario) {
    assert.deepEqual(this.crowdServer.receivedCalls.filter(({ startLine }) => startLine.startsWith("POST ")), []);
});

async function startProgram(scenario: CrowdScenario, program: RelayProgram): Promise<void> {
    scenario.crowdServer = new EngineServer("engine-1");
    scenario.crowdCalls = 0;
    await scenario.crowdServer.start();
    scenario.crowdProgram = program;
    await program.prepare([scenario.crowdServer], {}, { maxBodyBytes: MAX_BODY_BYTES });
    await program.start();
}

/** Returns the address and the path of a port. */
function selectPort(program: RelayProgram, port: string): readonly [address: string, path: string] {
    if (port === "readiness") {
        return [program.readinessAddress, "/-/ready"];
    }
    return port === "peers" ? [program.peerAddress, "/calls"] : [program.callerAddress, "/safe/x"];
}

/**
 * Makes one attempt at a call on a new connection.
 *
 * @param headers Headers in front of those that all calls have.
 * @param chunks Chunks of the body.
 * @param pauseMs Time between two chunks, in milliseconds.
 * @returns Status of the answer, or how the attempt failed.
 */
function sendCall(
    scenario: CrowdScenario,
    headers: Readonly<Record<string, string>>,
    chunks: readonly string[],
    pauseMs = 0,
): Promise<string> {
    const [host, port] = scenario.crowdProgram.callerAddress.split(":");
    scenario.crowdCalls += 1;
    const id = `ordinary-${scenario.crowdCalls}`;
    return new Promise(resolve => {
        const call = request({
            host,
            port: Number(port),
            path: "/safe/x",
            method: "POST",
            agent: false,
            headers: { ...headers, ...HEADERS, "Request-Id": id },
            signal: AbortSignal.timeout(ATTEMPT_MS),
        }, response => {
            response.resume();
            response.on("close", () => resolve(response.complete ? String(response.statusCode) : "an answer that is broken off"));
        });
        call.on("error", error => resolve(error.message));
        void writeChunks();
        async function writeChunks(): Promise<void> {
            for (const [index, chunk] of chunks.entries()) {
                if (index > 0 && pauseMs > 0) {
                    await pause(pauseMs);
                }
                call.write(chunk);
            }
            call.end();
        }
    });
}
