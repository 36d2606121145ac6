/**
 * Steps about the lines of a relay node about answers that promise that a call has not run.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import { PlatformHeaders } from "../../platform/mod.js";
import { EngineBehaviour, EngineServer } from "../../platform/standin/engine_server.js";
import type { AttemptRecord } from "../../src/protocol/relay/mod.js";
import { SystemClock } from "../../src/state/relay/mod.js";
import { CallerServer, InputLimits, type WrittenLocalAnswer } from "../../src/transport/relay/mod.js";
import { formatCall, RawCaller } from "../support/raw_caller.js";
import { RelayFixture, waitFor } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Time limit of steps that last as long as a drain, in milliseconds. */
const STEP_TIMEOUT_MS = 15_000;

/** Id of the call of a scenario with one call. */
const CALL_ID = "watched-call";

/** Time into a stop after which a call cannot be passed on any more, in milliseconds. */
const LATE_IN_STOP_MS = 2_200;

/** Time after which a call has arrived that was written, in milliseconds. */
const ARRIVAL_MS = 100;

const CLI_PROGRAM = new URL("../../src/cli/main.js", import.meta.url).pathname;

/** Call in a line about answers without a run. */
interface LoggedCall {
    readonly id: string;
    readonly place: string;
    readonly attempts?: readonly AttemptRecord[];
}

/** State of a scenario of this file. */
interface LineScenario extends Scenario {
    lineRelay: RelayFixture | undefined;
    lineStatuses: ReadonlyMap<string, number>;
    linePort: CallerServer | undefined;
    reportedAnswers: WrittenLocalAnswer[];
}

After({ timeout: STEP_TIMEOUT_MS }, async function(this: LineScenario) {
    await this.lineRelay?.stop();
    this.linePort?.closeAll();
});

Given(
    /^a relay whose answers without a run are logged, and (no|a) backend server$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: LineScenario, servers: string) {
        this.lineRelay = new RelayFixture();
        await this.lineRelay.start(servers === "no" ? [] : [new EngineServer("engine-1")]);
    },
);

When("{int} calls come at once", { timeout: STEP_TIMEOUT_MS }, async function(this: LineScenario, count: number) {
    const relay = relayOf(this);
    // Their deadline is beyond the longest wait for a slot.
    const calls = Array.from({ length: count }, () => relay.send({ path: "/unsafe/x", headers: { "Deadline-Ms": "3000" } }));
    this.lineStatuses = new Map((await Promise.all(calls)).map(({ id, status }) => [id, status]));
});

When(
    /^a call ((?:is refused by|finds|is read in part|ends its body late) .+)$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: LineScenario, event: string) {
        const relay = relayOf(this);
        const [engine] = relay.engines;
        assert(engine !== undefined);
        const send = async () => (await relay.send({ id: CALL_ID, path: "/unsafe/x", headers: { "Deadline-Ms": "300" } })).status;
        let status: number | undefined;
        switch (event) {
            case "is refused by the backend server":
                engine.behaviour = EngineBehaviour.Full;
                status = await send();
                break;
            case "finds the backend server's port closed":
                engine.close();
                status = await send();
                break;
            case "is read in part as the node stops":
                status = await sendBesideStop(relay, undefined);
                break;
            case "ends its body late in a stop":
                status = await sendBesideStop(relay, LATE_IN_STOP_MS);
                break;
            default:
                assert.fail(`unknown event ${event}`);
        }
        this.lineStatuses = new Map([[CALL_ID, status]]);
    },
);

/** Stops a node that has read a call but for its last byte, which comes after some time or never. */
async function sendBesideStop(relay: RelayFixture, lastByteMs: number | undefined): Promise<number> {
    const caller = await RawCaller.connect(relay.node.callerAddress);
    const text = formatCall(CALL_ID, "/unsafe/x");
    caller.write(text.slice(0, -1));
    await sleep(ARRIVAL_MS);
    const drained = relay.node.drain();
    if (lastByteMs !== undefined) {
        await sleep(lastByteMs);
        caller.write(text.slice(-1));
    }
    const [answer] = await caller.readAnswers(1);
    await drained;
    caller.close();
    return answer?.status ?? 0;
}

Then(
    "each of them is answered with {int} and logged once as decided by {string}",
    async function(this: LineScenario, status: number, place: string) {
        await assertLogged(this, status, place);
    },
);

Then(
    "it is answered with {int} and logged once as decided by {string} with attempts {string}",
    async function(this: LineScenario, status: number, place: string, attempts: string) {
        await assertLogged(this, status, place);
        const [call] = loggedCalls(this);
        assert.equal((call?.attempts ?? []).map(({ end }) => end).join(", "), attempts);
    },
);

Then("`foxtailrail explain` shows the place {string} of the call", async function(this: LineScenario, place: string) {
    const folder = await mkdtemp(join(tmpdir(), "lines-"));
    try {
        const file = join(folder, "entry-1.log");
        await writeFile(file, relayOf(this).lines.map(line => `${JSON.stringify(line)}\n`).join(""));
        const { stdout } = await promisify(execFile)(process.execPath, [CLI_PROGRAM, "explain", CALL_ID, "--log", file]);
        const lines = stdout.split("\n").filter(line => line.includes(`place="${place}"`));
        assert.equal(lines.length, 1, stdout);
        assert(lines[0]?.startsWith("* "), stdout);
    }
    finally {
        await rm(folder, { recursive: true });
    }
});

Given("a port for callers with memory for {int} bytes", async function(this: LineScenario, bytes: number) {
    const clock = new SystemClock();
    this.reportedAnswers = [];
    this.linePort = new CallerServer({
        clock,
        headers: new PlatformHeaders(),
        inputLimits: new InputLimits(clock, bytes),
        receive: () => assert.fail("the call was received"),
        onError: error => assert.fail(String(error)),
        onListenerError: error => assert.fail(String(error)),
        onCut: () => undefined,
        onIdleClose: () => undefined,
        onLocalAnswer: answer => this.reportedAnswers.push(answer),
    });
    await this.linePort.listen("127.0.0.1", 0);
});

When("a call with a body of {int} bytes comes", async function(this: LineScenario, bytes: number) {
    const caller = await RawCaller.connect(`127.0.0.1:${this.linePort?.port}`);
    caller.write(formatCall(CALL_ID, "/unsafe/x", "x".repeat(bytes)));
    const [answer] = await caller.readAnswers(1);
    caller.close();
    this.lineStatuses = new Map([[CALL_ID, answer?.status ?? 0]]);
});

Then(
    "it is answered with {int} and reported as decided by {string}",
    function(this: LineScenario, status: number, place: string) {
        assert.deepEqual([...this.lineStatuses], [[CALL_ID, status]]);
        const reports = this.reportedAnswers.map(({ id, localAnswer }) => [id, localAnswer.status, localAnswer.place]);
        assert.deepEqual(reports, [[CALL_ID, status, place]]);
    },
);

async function assertLogged(scenario: LineScenario, status: number, place: string): Promise<void> {
    const ids = [...scenario.lineStatuses.keys()];
    assert.deepEqual([...new Set(scenario.lineStatuses.values())], [status]);
    await waitFor("all calls are logged", () => loggedCalls(scenario).length >= ids.length);
    const calls = loggedCalls(scenario);
    assert.deepEqual(calls.map(({ id }) => id).sort(), ids.sort());
    assert.deepEqual([...new Set(calls.map(call => call.place))], [place]);
}

function loggedCalls(scenario: LineScenario): readonly LoggedCall[] {
    const lines = relayOf(scenario).lines.filter(({ msg }) => msg === "calls: answered as not run");
    return lines.flatMap(({ calls }) => calls as readonly LoggedCall[]);
}

function relayOf({ lineRelay }: LineScenario): RelayFixture {
    assert(lineRelay !== undefined);
    return lineRelay;
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
