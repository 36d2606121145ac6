/**
 * Steps about the relay node program, run as a process.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { type ChildProcess, spawn, spawnSync, type SpawnSyncReturns } from "node:child_process";
import { copyFile, mkdtemp, readFile, rm, stat, truncate, writeFile } from "node:fs/promises";
import { Agent, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { StoreServer } from "../../platform/standin/store_server.js";
import { awaitReady, findPorts } from "../../standin/fleet_process.js";
import type { Scenario } from "../support/world.js";

/** Rate limit of the program's log, in lines per second; more lines than the test causes. */
const MAX_LOG_LINES_PER_SECOND = 100_000;

/** Shares of the length of the compiled code up to which it is damaged, and bytes that are. */
const DAMAGED_PLACES: ReadonlyMap<string, number> = new Map([
    ["damaged at a tenth of its length", 0.1],
    ["damaged in its middle", 0.5],
    ["damaged at its end", 1],
]);
const DAMAGED_BYTES = 64;

/** Kilobytes in a megabyte. */
const KILOBYTES_PER_MEGABYTE = 1_024;

/** State of a scenario of this file. */
interface ProgramScenario extends Scenario {
    programStore: StoreServer;
    programDirectory: string;
    program: ChildProcess;
    /** Exit code; Node gives `null` after a signal. */
    programExit: Promise<number | null>;
    programPort: number;
    programOutput: string;
    maxLatencyMs: number;
    terminatedAtMs: number;
    copyRun: SpawnSyncReturns<string>;
    isBundleChanged: boolean;
}

Given("a relay program whose log output is not read", async function(this: ProgramScenario) {
    this.programStore = new StoreServer();
    await this.programStore.start();
    this.programStore.put("keyed.op", "config", {
        Version: 1,
        Routes: [],
        Services: [],
        Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 1_000_000, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
        Tenants: [],
    });
    const [callers = 0, readiness = 0, peers = 0] = await findPorts(3, 0);
    this.programPort = callers;
    this.programDirectory = await mkdtemp(join(tmpdir(), "relay-program-"));
    const file = join(this.programDirectory, "settings.yaml");
    await writeFile(
        file,
        `
node: entry-1
failureDomain: zone-a
listen: { callers: "127.0.0.1:${callers}", readiness: "127.0.0.1:${readiness}", peers: "127.0.0.1:${peers}" }
log: ${this.programStore.address}
isFirstStart: true
drain: { graceSeconds: 3, balancerLagMs: 50 }
configuration: { applyMs: 2000 }
servers: { leaveMs: 2000 }
retries: { fraction: 0.2, windowSeconds: 10, slackCalls: 600 }
rollouts: { maxShare: 0.1, slackCalls: 50, rollbackMs: 5000 }
logLinesPerSecond: ${MAX_LOG_LINES_PER_SECOND}
`,
    );
    const program = spawn(process.execPath, ["dist/entry.cjs"], {
        env: { ...process.env, FOXTAILRAIL_CONFIG: file },
        stdio: ["ignore", "pipe", "ignore"],
    });
    // Nothing reads the pipe, so it fills up and stays full.
    program.stdout.pause();
    this.program = program;
    this.programExit = new Promise(resolve => {
        program.once("exit", resolve);
    });
    await awaitReady(`http://127.0.0.1:${readiness}/-/ready`);
});

When("{int} calls that each log a line are sent, {int} at a time", async function(
    this: ProgramScenario,
    count: number,
    parallel: number,
) {
    const agent = new Agent({ keepAlive: true, maxSockets: parallel });
    let sent = 0;
    this.maxLatencyMs = 0;
    const sendAll = async () => {
        while (sent < count) {
            sent += 1;
            this.maxLatencyMs = Math.max(this.maxLatencyMs, await sendUnroutable(this.programPort, sent, agent));
        }
    };
    await Promise.all(Array.from({ length: parallel }, sendAll));
    agent.destroy();
});

/** Sends a call that matches no route and returns the time until its answer, in milliseconds. */
function sendUnroutable(port: number, id: number, agent: Agent): Promise<number> {
    const startedMs = performance.now();
    return new Promise((resolve, reject) => {
        const headers = { "Host": "nobody.example", "Request-Id": `call-${id}` };
        const call = request({ host: "127.0.0.1", port, path: "/x/", agent, headers }, response => {
            assert.equal(response.statusCode, 404);
            response.resume();
            response.on("end", () => resolve(performance.now() - startedMs));
        });
        call.on("error", reject);
        call.end();
    });
}

Then("each of them is answered within {int} ms", function(this: ProgramScenario, maxMs: number) {
    assert(this.maxLatencyMs <= maxMs, `the slowest took ${this.maxLatencyMs} ms`);
});

Then("the program uses less than {int} MB", async function(this: ProgramScenario, max: number) {
    const status = await readFile(`/proc/${this.program.pid}/status`, "utf8");
    const kilobytes = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1]);
    assert(kilobytes / KILOBYTES_PER_MEGABYTE < max, `${kilobytes} kB are resident`);
});

When("the relay program receives SIGTERM", function(this: ProgramScenario) {
    this.terminatedAtMs = performance.now();
    this.program.kill("SIGTERM");
});

Then("it exits within {int} ms with code {int}", async function(this: ProgramScenario, maxMs: number, code: number) {
    const timeout = new Promise<string>(resolve => setTimeout(resolve, maxMs, "still running").unref());
    assert.equal(await Promise.race([this.programExit, timeout]), code);
});

After(async function(this: ProgramScenario) {
    if (this.program !== undefined) {
        this.program.kill("SIGKILL");
        await this.programExit;
        this.programStore.close();
    }
    if (this.programDirectory !== undefined) {
        await rm(this.programDirectory, { recursive: true });
    }
});

Given(/^a copy of the relay program whose compiled code is (.*)$/, async function(this: ProgramScenario, state: string) {
    this.programDirectory = await mkdtemp(join(tmpdir(), "relay-program-"));
    for (const file of ["entry.cjs", "relay_node.cjs"]) {
        await copyFile(join("dist", file), join(this.programDirectory, file));
    }
    const codeFile = join(this.programDirectory, "relay_node.cjs.code");
    const flags = state === "of another flag" ? ["--max-semi-space-size=8"] : [];
    runCopy(this.programDirectory, flags, ["--store-code"]);
    this.isBundleChanged = state === "of another bundle";
    if (state === "missing") {
        await rm(codeFile);
    }
    if (this.isBundleChanged) {
        // The text is as long as before.
        const bundleFile = join(this.programDirectory, "relay_node.cjs");
        const bundle = await readFile(bundleFile, "utf8");
        await writeFile(bundleFile, bundle.replace("Cannot start: variable", "CANNOT START: variable"));
    }
    const damagedAt = DAMAGED_PLACES.get(state);
    if (damagedAt !== undefined) {
        const code = await readFile(codeFile);
        code.fill(0xff, Math.floor(code.length * damagedAt) - DAMAGED_BYTES, Math.floor(code.length * damagedAt));
        await writeFile(codeFile, code);
    }
    if (state === "cut off") {
        await truncate(codeFile, Math.floor((await stat(codeFile)).size / 2));
    }
});

When("it is started without settings", function(this: ProgramScenario) {
    this.copyRun = runCopy(this.programDirectory, [], []);
});

Then(
    /^it exits with code (\d+) and (says|does not say) that its compiled code is not used$/,
    function(this: ProgramScenario, code: string, says: string) {
        const { status, stderr } = this.copyRun;
        assert.equal(status, Number(code), stderr);
        assert.match(stderr, /FOXTAILRAIL_CONFIG is not set/);
        assert.equal(stderr.includes("CANNOT START"), this.isBundleChanged, stderr);
        assert.equal(/Compiled code .* --store-code/.test(stderr), says === "says", stderr);
    },
);

/** Runs the copy of the program in a directory to its end. */
function runCopy(directory: string, flags: readonly string[], programArguments: readonly string[]): SpawnSyncReturns<string> {
    return spawnSync(process.execPath, [...flags, join(directory, "entry.cjs"), ...programArguments], {
        env: {},
        encoding: "utf8",
    });
}

When("the program is killed {int} s later", async function(this: ProgramScenario, seconds: number) {
    await new Promise(resolve => setTimeout(resolve, seconds * 1_000));
    this.program.kill("SIGKILL");
    this.programOutput = "";
    for await (const text of this.program.stdout ?? []) {
        this.programOutput += String(text);
    }
});

Then("its output names the call", function(this: ProgramScenario) {
    assert(this.programOutput.includes('"call: ended"'), `the output is "${this.programOutput}"`);
});
