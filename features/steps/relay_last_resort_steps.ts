/**
 * Steps about errors that nothing in the relay node program catches, with the program as a process.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { EngineServer, PLAIN_BODY } from "../../platform/standin/engine_server.js";
import { StoreServer } from "../../platform/standin/store_server.js";
import { awaitReady, findPorts } from "../../standin/fleet_process.js";
import { makeConfiguration, waitFor } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Code in the program that causes an error on a signal. */
const PRELOADED_CODE = `
process.on("SIGUSR2", () => { throw new Error("thrown by the test"); });
process.on("SIGWINCH", () => { Promise.reject(new Error("thrown by the test")); });
`;

/** Signal that causes each error. */
const SIGNALS: Readonly<Record<string, NodeJS.Signals>> = {
    "an uncaught error": "SIGUSR2",
    "an unhandled rejection": "SIGWINCH",
};

/** Time after which the program must have ended, in milliseconds. */
const END_LIMIT_MS = 5_000;

/** Time after which a program that cannot start must have ended, in milliseconds. */
const START_LIMIT_MS = 3_000;

/** Code in a program that may open no port. */
const FORBIDDEN_PORTS_CODE = `
import { Server } from "node:net";
Server.prototype.listen = function() {
    setImmediate(() => this.emit("error", Object.assign(new Error("listen EACCES"), { code: "EACCES" })));
    return this;
};
`;

/** State of a scenario of this file. */
interface LastResortScenario extends Scenario {
    resortStore: StoreServer;
    resortEngine: EngineServer;
    resortProgram: ChildProcess;
    /** Exit code; Node gives `null` after a signal. */
    resortExit: Promise<number | null>;
    resortDirectory: string;
    /** Exit code of a second program; Node gives `null` after a signal. */
    secondExit: number | string | null;
    callerPort: number;
    output: string;
    resortAnswer: Response | undefined;
    lastCall: number;
}

Given("a relay program before a server that takes {int} ms", async function(this: LastResortScenario, processingMs: number) {
    this.resortStore = new StoreServer();
    await this.resortStore.start();
    this.resortEngine = new EngineServer("engine-1");
    this.resortEngine.processingMs = processingMs;
    await this.resortEngine.start();
    this.resortStore.put("keyed.servers", "engine-1", this.resortEngine.serverEntry("service"));
    this.resortStore.put("keyed.op", "config", makeConfiguration(1, ["key-1"], "127.0.0.1"));
    const [callers = 0, readiness = 0, peers = 0] = await findPorts(3, 0);
    this.callerPort = callers;
    this.lastCall = 0;
    this.resortDirectory = await mkdtemp(join(tmpdir(), "relay-last-resort-"));
    const file = join(this.resortDirectory, "settings.yaml");
    await writeFile(
        file,
        `
node: entry-1
failureDomain: zone-a
listen: { callers: "127.0.0.1:${callers}", readiness: "127.0.0.1:${readiness}", peers: "127.0.0.1:${peers}" }
log: ${this.resortStore.address}
isFirstStart: true
drain: { graceSeconds: 3, balancerLagMs: 50 }
configuration: { applyMs: 2000 }
servers: { leaveMs: 2000 }
retries: { fraction: 0.2, windowSeconds: 10, slackCalls: 600 }
rollouts: { maxShare: 0.1, slackCalls: 50, rollbackMs: 5000 }
`,
    );
    const preload = `data:text/javascript,${encodeURIComponent(PRELOADED_CODE)}`;
    const program = spawn(process.execPath, ["--import", preload, "dist/entry.cjs"], {
        env: { ...process.env, FOXTAILRAIL_CONFIG: file },
        stdio: ["ignore", "pipe", "ignore"],
    });
    this.output = "";
    program.stdout.on("data", data => this.output += String(data));
    this.resortProgram = program;
    this.resortExit = new Promise(resolve => {
        program.once("exit", resolve);
    });
    await awaitReady(`http://127.0.0.1:${readiness}/-/ready`);
});

After(async function(this: LastResortScenario) {
    if (this.resortProgram !== undefined) {
        this.resortProgram.kill("SIGKILL");
        await this.resortExit;
        this.resortEngine.close();
        this.resortStore.close();
        await rm(this.resortDirectory, { recursive: true });
    }
});

When("a second program is started that has no permission to listen", async function(this: LastResortScenario) {
    const preload = `data:text/javascript,${encodeURIComponent(FORBIDDEN_PORTS_CODE)}`;
    const program = spawn(process.execPath, ["--import", preload, "dist/entry.cjs"], {
        env: { ...process.env, FOXTAILRAIL_CONFIG: join(this.resortDirectory, "settings.yaml") },
        stdio: ["ignore", "pipe", "ignore"],
    });
    let output = "";
    program.stdout.on("data", data => output += String(data));
    const exit = new Promise<number | null>(resolve => {
        program.once("exit", resolve);
    });
    const timeout = new Promise<string>(resolve => setTimeout(resolve, START_LIMIT_MS, "still running").unref());
    this.secondExit = await Promise.race([exit, timeout]);
    program.kill("SIGKILL");
    await exit;
    this.output = output;
});

Then("it logs {string}, and ends with code {int} within 3000 ms", function(this: LastResortScenario, line: string, code: number) {
    assert.equal(this.secondExit, code);
    assert(this.output.includes(`"msg":"${line}"`), this.output);
});

/** Sends a call; resolves with `undefined` if it gets no answer. */
async function sendCall(scenario: LastResortScenario): Promise<Response | undefined> {
    scenario.lastCall += 1;
    const headers = { "Request-Id": `call-${scenario.lastCall}`, "Api-Key": "key-1", "Deadline-Ms": "3000" };
    try {
        return await fetch(`http://127.0.0.1:${scenario.callerPort}/unsafe/x`, { method: "POST", body: "body", headers });
    }
    catch {
        return undefined;
    }
}

When(/^(an uncaught error|an unhandled rejection) occurs while the program holds a call$/, async function(
    this: LastResortScenario,
    error: string,
) {
    const sent = sendCall(this);
    await waitFor("the server has the call", () => this.resortEngine.receivedCalls.length > 0);
    this.resortProgram.kill(SIGNALS[error]);
    this.resortAnswer = await sent;
});

Then("the call gets the whole answer of the server", async function(this: LastResortScenario) {
    assert.equal(this.resortAnswer?.status, 200);
    assert.equal(await this.resortAnswer.text(), PLAIN_BODY);
});

Then(/^the program logs "(.+)", and (ends with code 1|serves a new call)$/, async function(
    this: LastResortScenario,
    line: string,
    end: string,
) {
    if (end === "serves a new call") {
        assert.equal((await sendCall(this))?.status, 200);
        this.resortProgram.kill("SIGTERM");
    }
    const timeout = new Promise<string>(resolve => setTimeout(resolve, END_LIMIT_MS, "still running").unref());
    assert.equal(await Promise.race([this.resortExit, timeout]), end === "serves a new call" ? 0 : 1);
    assert(this.output.includes(`"msg":"${line}"`), this.output);
});
