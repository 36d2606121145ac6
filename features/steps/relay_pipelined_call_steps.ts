/**
 * Steps about calls behind others on their connection, end to end on loopback.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { EngineBehaviour, EngineServer, formatEvent, PLAIN_BODY, STREAM_EVENTS } from "../../platform/standin/engine_server.js";
import { formatCall, type RawAnswer, RawCaller } from "../support/raw_caller.js";
import { PATH_BY_CALL_KIND, RelayFixture, waitFor } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Time limit of steps that last as long as a drain, in milliseconds. */
const STEP_TIMEOUT_MS = 15_000;

/** Time that a call or the pause of a stream takes, in milliseconds. */
const WORK_MS = 400;

/** Time after which a call that is not held is at a server, in milliseconds; shorter than {@linkcode WORK_MS}. */
const SETTLE_MS = 150;

/** Places of both servers. */
const PLACES = 8;

/** Deadline of calls that get no place, in milliseconds; their answer is decided before that of a call that takes 500 ms. */
const REFUSED_DEADLINE_MS = 250;

/** Deadline of calls whose time does not end, in milliseconds. */
const DEADLINE_MS = 5_000;

/** State of a scenario of this file. */
interface PipelineScenario extends Scenario {
    pipelineRelay: RelayFixture;
    pipelineEngines: readonly EngineServer[];
    firstKind: string;
    pipelineCaller: RawCaller;
    pipelineAnswers: readonly RawAnswer[];
    receivedEarly: number;
}

After({ timeout: STEP_TIMEOUT_MS }, async function(this: PipelineScenario) {
    this.pipelineCaller?.close();
    await this.pipelineRelay?.stop();
});

async function prepare(scenario: PipelineScenario, kind: string): Promise<void> {
    scenario.firstKind = kind;
    scenario.pipelineEngines = ["engine-1", "engine-2"].map(id => new EngineServer(id));
    scenario.pipelineRelay = new RelayFixture();
    await scenario.pipelineRelay.start(scenario.pipelineEngines);
    scenario.pipelineCaller = await RawCaller.connect(scenario.pipelineRelay.node.callerAddress);
}

Given(
    /^a relay and a "([\w ]+)" call whose server takes (\d+) ms$/,
    async function(this: PipelineScenario, kind: string, processingMs: string) {
        await prepare(this, kind);
        change(this, { processingMs: Number(processingMs) });
    },
);

Given(
    /^a relay and a "([\w ]+)" call whose server (?!takes)(.+)$/,
    async function(this: PipelineScenario, kind: string, fault: string) {
        await prepare(this, kind);
        const behaviour = fault as EngineBehaviour;
        const hasPause = behaviour === EngineBehaviour.StreamPauses;
        change(this, { behaviour, pauseMs: WORK_MS, processingMs: hasPause ? 0 : WORK_MS });
        if (!hasPause && fault.includes(" with")) {
            change(this, { processingMs: 0 });
        }
    },
);

When(
    /^a "([\w ]+)" call is written (with it|behind its head), and the time of the first one ends after (\d+) ms$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: PipelineScenario, kind: string, moment: string, deadlineMs: string) {
        await writePair(this, moment, format("first", this.firstKind, Number(deadlineMs)), format("second", kind));
        await settle();
        this.receivedEarly = countReceived(this, "second");
        this.pipelineAnswers = await this.pipelineCaller.readAnswers(2);
    },
);

When(
    "a {string} call that is broken off and a {string} call are written behind it",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: PipelineScenario, brokenKind: string, kind: string) {
        this.pipelineCaller.write(format("first", this.firstKind));
        await waitFor("a server has the first call", () => countReceived(this, "first") > 0);
        change(this, { behaviour: EngineBehaviour.StreamBreaks, processingMs: 0 });
        this.pipelineCaller.write(format("broken", brokenKind) + format("second", kind));
        await settle();
        change(this, { behaviour: EngineBehaviour.Healthy });
        await this.pipelineCaller.awaitClose();
        this.pipelineAnswers = await this.pipelineCaller.readAnswers(0);
    },
);

When(
    /^a "([\w ]+)" call with a deadline of (\d+) ms is written behind its head$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: PipelineScenario, kind: string, deadlineMs: string) {
        await writePair(this, "behind its head", format("first", this.firstKind), format("second", kind, Number(deadlineMs)));
        this.pipelineAnswers = await this.pipelineCaller.readAnswers(2);
    },
);

When(
    /^a "([\w ]+)" call of a caller of HTTP\/1\.0 is written (.*)$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: PipelineScenario, kind: string, moment: string) {
        await writePair(this, moment, toHttp10(format("first", this.firstKind)), toHttp10(format("second", kind)));
        await this.pipelineCaller.awaitClose();
        this.pipelineAnswers = await this.pipelineCaller.readAnswers(0);
    },
);

When(
    "the node is drained while a {string} call is held behind its head",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: PipelineScenario, kind: string) {
        await writePair(this, "behind its head", format("first", this.firstKind), format("second", kind));
        await Promise.all([this.pipelineRelay.node.drain(), this.pipelineCaller.awaitClose()]);
        this.pipelineAnswers = await this.pipelineCaller.readAnswers(0);
    },
);

When(
    "a {string} call is written behind its head, and the caller leaves",
    async function(this: PipelineScenario, kind: string) {
        await writePair(this, "behind its head", format("first", this.firstKind), format("second", kind));
        await settle();
        this.pipelineCaller.close();
    },
);

When(
    /^a "([\w ]+)" call that expects an interim head is written behind it, its body (.*)$/,
    { timeout: STEP_TIMEOUT_MS },
    async function(this: PipelineScenario, kind: string, moment: string) {
        const { pipelineCaller } = this;
        pipelineCaller.write(format("first", this.firstKind));
        await waitFor("a server has the first call", () => countReceived(this, "first") > 0);
        if (this.firstKind === "stream") {
            await pipelineCaller.awaitBytes();
        }
        if (kind === "refused") {
            await takePlaces(this);
        }
        change(this, { behaviour: EngineBehaviour.Healthy, processingMs: 0, isStream: kind === "stream" });
        const deadlineMs = kind === "refused" ? REFUSED_DEADLINE_MS : DEADLINE_MS;
        const second = format("second", kind === "refused" ? "unsafe" : kind, deadlineMs);
        const bodyStart = second.indexOf("\r\n\r\n") + 4;
        const head = second.slice(0, bodyStart).replace("Content-Length", "Expect: 100-continue\r\nContent-Length");
        const body = second.slice(bodyStart);
        pipelineCaller.write(head + (moment === "with its head" ? body : ""));
        if (moment === "without waiting") {
            await settle();
            pipelineCaller.write(body);
        }
        else if (moment === "after the interim head") {
            const answers = await pipelineCaller.readAnswers(2);
            assert.deepEqual(answers.map(({ status }) => status), [200, 100]);
            pipelineCaller.write(body);
        }
        this.pipelineAnswers = await pipelineCaller.readAnswers(moment === "after the interim head" ? 3 : 2);
    },
);

Then(
    /^the answers are ([\d ]+), with nothing in each of them but its own body, and the second call runs (\d+) times$/,
    function(this: PipelineScenario, statuses: string, runs: string) {
        const { pipelineAnswers } = this;
        assert.equal(pipelineAnswers.map(({ status }) => status).join(" "), statuses);
        const events = Array.from({ length: STREAM_EVENTS }, (unused, index) => formatEvent(index + 1)).join("");
        for (const { status, headers, body, isComplete } of pipelineAnswers) {
            assert(isComplete);
            if (status === 200) {
                assert.equal(body, headers.get("content-type") === "text/event-stream" ? events : PLAIN_BODY);
            }
            else if (status >= 400) {
                assert.match(body, /^\{"error":"[^"]+"\}\n$/);
            }
        }
        assert.equal(countReceived(this, "second"), Number(runs));
    },
);

Then("a further call on the connection is answered with {int}", async function(this: PipelineScenario, status: number) {
    change(this, { behaviour: EngineBehaviour.Healthy, processingMs: 0, isStream: false });
    this.pipelineCaller.write(format("third", "safe"));
    const answers = await this.pipelineCaller.readAnswers(this.pipelineAnswers.length + 1);
    assert.deepEqual([answers.at(-1)?.status, answers.at(-1)?.body], [status, PLAIN_BODY]);
});

Then(
    "the first answer is broken off, and the second call reaches a server {int} times",
    function(this: PipelineScenario, times: number) {
        assertBrokenOff(this);
        assert.equal(countReceived(this, "second"), times);
    },
);

Then(
    "the first answer is broken off, and {int} call is counted as cut",
    async function(this: PipelineScenario, count: number) {
        assertBrokenOff(this);
        await waitFor("the cut call is counted", async () => await this.pipelineRelay.readMetric("cut_calls_total") === count);
    },
);

Then(
    "the first answer is whole, and the last call reaches a server {int} times",
    function(this: PipelineScenario, times: number) {
        const [first] = this.pipelineAnswers;
        assert(first?.isComplete, JSON.stringify(this.pipelineAnswers));
        assert.equal(first.status, 200);
        assert.equal(countReceived(this, "second"), times);
    },
);

Then(
    /^the answers have the statuses ([\d ]+), and the second call reaches a server (\d+) times(?: and (before|after) the first answer)?$/,
    function(this: PipelineScenario, statuses: string, times: string, order: string | undefined) {
        const seen = this.pipelineAnswers.map(({ status, isComplete }) => isComplete ? String(status) : `${status} cut`);
        assert.equal(seen.join(" "), statuses);
        assert.equal(countReceived(this, "second"), Number(times));
        if (order !== undefined) {
            assert.equal(this.receivedEarly > 0, order === "before");
        }
    },
);

Then(
    "the first answer ends with its connection, and the second call reaches a server {int} times",
    function(this: PipelineScenario, times: number) {
        assert.deepEqual(this.pipelineAnswers.map(({ status, isComplete }) => [status, isComplete]), [[200, true]]);
        assert.equal(countReceived(this, "second"), times);
    },
);

Then(
    "the second call reaches a server {int} times within {int} ms and is not counted as cut",
    async function(this: PipelineScenario, times: number, limitMs: number) {
        await new Promise(resolve => setTimeout(resolve, limitMs));
        assert.equal(countReceived(this, "second"), times);
        assert.equal(await this.pipelineRelay.readMetric("cut_calls_total"), 0);
    },
);

function assertBrokenOff({ pipelineAnswers }: PipelineScenario): void {
    const [first, ...others] = pipelineAnswers;
    assert(first === undefined || !first.isComplete, JSON.stringify(pipelineAnswers));
    assert.equal(others.length, 0);
}

/** Writes two calls at once, or the second one when a part of the first answer has been read and servers answer again. */
async function writePair(scenario: PipelineScenario, moment: string, first: string, second: string): Promise<void> {
    const { pipelineCaller, pipelineEngines } = scenario;
    if (moment === "with it") {
        pipelineCaller.write(first + second);
        return;
    }
    pipelineCaller.write(first);
    const hangs = pipelineEngines[0]?.behaviour === EngineBehaviour.Hangs;
    if (hangs) {
        await waitFor("a server has the first call", () => countReceived(scenario, "first") > 0);
        await new Promise(resolve => setTimeout(resolve, WORK_MS + SETTLE_MS));
    }
    else {
        await pipelineCaller.awaitBytes();
    }
    change(scenario, {
        behaviour: EngineBehaviour.Healthy,
        processingMs: 0,
        isStream: /^POST \/(stream|resumable)/.test(second),
    });
    pipelineCaller.write(second);
}

/** Takes the places of the servers that the first call leaves. */
async function takePlaces({ pipelineRelay, pipelineEngines }: PipelineScenario): Promise<void> {
    for (let call = 1; call < PLACES; call += 1) {
        void pipelineRelay.send({ path: PATH_BY_CALL_KIND["unsafe"] ?? "" });
    }
    await waitFor("the places are taken", () => pipelineEngines.flatMap(engine => engine.receivedCalls).length === PLACES);
}

function change({ pipelineEngines }: PipelineScenario, changes: Partial<EngineServer>): void {
    for (const engine of pipelineEngines) {
        Object.assign(engine, changes);
    }
}

function format(id: string, kind: string, deadlineMs = DEADLINE_MS): string {
    return formatCall(id, PATH_BY_CALL_KIND[kind] ?? "/unrouted/x").replace(/Deadline-Ms: \d+/, `Deadline-Ms: ${deadlineMs}`);
}

function toHttp10(text: string): string {
    return text.replace("HTTP/1.1\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n");
}

async function settle(): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
}

function countReceived({ pipelineEngines }: PipelineScenario, id: string): number {
    const calls = pipelineEngines.flatMap(engine => engine.receivedCalls);
    return calls.filter(({ headers }) => headers.get("request-id") === id).length;
}
