/**
 * Steps that run cases of the scheduling experiment.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Registry } from "prom-client";
import type { QueueRecord, RecordingScheduler } from "../../measure/decision_history.js";
import { findPriorityInversions } from "../../measure/priority_inversions.js";
import {
    makeNaiveScheduler,
    makeTieredScheduler,
    runSchedulingCase,
    SCHEDULING_CASES,
    type SchedulingCase,
} from "../../measure/scheduling.js";
import type { CallOutcome, RunResult, TimedFault } from "../../measure/scheduling_run.js";
import type { TieredScheduler } from "../../src/coordination/mod.js";
import { registerSchedulingMetrics } from "../../src/daemon/mod.js";
import { VmState } from "../../src/state/mod.js";
import { expectedAnswer } from "../../standin/engine_model.js";
import type { Scenario } from "../support/world.js";

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Case of one scenario and its results under both schedulers. */
interface SchedulingRuns {
    schedulingCase?: SchedulingCase;
    current?: RunResult;
    naive?: RunResult;
}

const runsOf = new WeakMap<Scenario, SchedulingRuns>();

When(
    "the scheduling case {string} runs for {int} s under both schedulers, seed {int}",
    async function(this: Scenario, name: string, seconds: number, seed: number) {
        const schedulingCase = findCase(name);
        const durationMs = seconds * MS_PER_SECOND;
        const current = await runSchedulingCase(schedulingCase, { seed, durationMs, makeScheduler: makeTieredScheduler });
        const naive = await runSchedulingCase(schedulingCase, { seed, durationMs, makeScheduler: makeNaiveScheduler });
        runsOf.set(this, { current, naive });
    },
);

Given(
    "the scheduling case {string} with {string} leaving after {int} s",
    function(this: Scenario, name: string, server: string, seconds: number) {
        const fault: TimedFault = { atMs: seconds * MS_PER_SECOND, apply: fleet => fleet.setVmState(server, VmState.Leaving) };
        runsOf.set(this, { schedulingCase: { ...findCase(name), faults: [fault] } });
    },
);

Given(
    "the scheduling case {string} with {string} failing from {int} s to {int} s",
    function(this: Scenario, name: string, server: string, from: number, until: number) {
        const set = (serverError: boolean): TimedFault["apply"] => fleet => {
            const engine = fleet.engines.get(server);
            assert.ok(engine !== undefined);
            engine.faults.serverError = serverError;
        };
        const faults = [{ atMs: from * MS_PER_SECOND, apply: set(true) }, { atMs: until * MS_PER_SECOND, apply: set(false) }];
        runsOf.set(this, { schedulingCase: { ...findCase(name), faults } });
    },
);

When("it runs for {int} s, seed {int}", async function(this: Scenario, seconds: number, seed: number) {
    const { schedulingCase } = runsOf.get(this) ?? {};
    assert.ok(schedulingCase !== undefined);
    const settings = { seed, durationMs: seconds * MS_PER_SECOND, makeScheduler: makeTieredScheduler };
    runsOf.set(this, { schedulingCase, current: await runSchedulingCase(schedulingCase, settings) });
});

Then("no higher tier was shed before a lower one", function(this: Scenario) {
    const [first] = findPriorityInversions(currentRunOf(this).history.records);
    assert.equal(first, undefined, JSON.stringify(first));
});

Then("every scheduled call got its own complete answer, a truthful refusal or an aborted stream", function(this: Scenario) {
    const { outcomes, history } = currentRunOf(this);
    const dispatched = new Set(history.records.filter(stay => stay.server !== undefined).map(stay => stay.id));
    for (const outcome of outcomes) {
        const { writer, id } = outcome.answer;
        if (outcome.status === 200) {
            assert.ok(writer.ended || writer.aborted, id);
            assert.ok(writer.aborted || parseStreamText(writer.text) === expectedAnswer(outcome.arrival.body), id);
            continue;
        }
        assert.ok(outcome.status >= 500, `${id} ${outcome.status}`);
        assert.ok(!dispatched.has(id) || parseExecuted(outcome) === "unknown", `${id} ${writer.text}`);
    }
});

Then("the scheduler meets more {string} objectives than the naive one", function(this: Scenario, tier: string) {
    const countMet = (run: RunResult) =>
        run.outcomes.filter(outcome => outcome.arrival.tier === tier && outcome.metObjective).length;
    const { naive } = runsOf.get(this) ?? {};
    assert.ok(naive !== undefined);
    assert.ok(countMet(currentRunOf(this)) > countMet(naive), `${countMet(currentRunOf(this))} against ${countMet(naive)}`);
});

Then(
    "every call that was shed got {string} in less than half of its deadline, and executed {string} unless it was sent before",
    function(this: Scenario, header: string, executed: string) {
        const { outcomes, history } = currentRunOf(this);
        const stays = new Map(history.records.map(stay => [stay.id, stay]));
        const sent = new Set(history.records.filter(stay => stay.server !== undefined).map(stay => stay.id));
        const shed = outcomes.filter(outcome => outcome.status === 503);
        assert.ok(shed.length > 0);
        for (const outcome of shed) {
            const stay = stays.get(outcome.answer.id) as QueueRecord;
            assert.ok(Number(outcome.answer.writer.head?.headers?.[header.toLowerCase()]) >= 1, outcome.answer.writer.text);
            assert.equal(parseExecuted(outcome), sent.has(outcome.answer.id) ? "unknown" : executed);
            assert.ok(stay.leftAtMs - stay.arrivedAtMs < deadlineMsOf(outcome) / 2, JSON.stringify(stay));
        }
    },
);

Then("the metrics show sheds of {string} and windows, in fewer than {int} series", async function(
    this: Scenario,
    tier: string,
    limit: number,
) {
    const [node] = currentRunOf(this).fleet.nodes;
    const { inner } = node.scheduler as RecordingScheduler;
    const registry = new Registry();
    registerSchedulingMetrics(registry, inner as TieredScheduler, rank => `tier-${rank}`);
    const series = (await registry.metrics()).split("\n").filter(line => line !== "" && !line.startsWith("#"));
    assert.ok(series.some(line => line.startsWith(`foxtailrail_calls_shed_total{tier="${tier}"`)));
    assert.equal(
        series.filter(line => line.startsWith("foxtailrail_window_tokens{")).length,
        node.table.inPool("language-model").length,
    );
    assert.ok(series.length < limit, `${series.length} series`);
});

Then(
    "{string} was sent work before {int} s, and none after {int} s",
    function(this: Scenario, server: string, before: number, after: number) {
        const times = dispatchTimes(currentRunOf(this), server);
        assert.ok(times.some(atMs => atMs < before * MS_PER_SECOND));
        assert.deepEqual(times.filter(atMs => atMs > after * MS_PER_SECOND), []);
    },
);

Then(
    "fewer than {int} calls were sent to {string} while it failed",
    function(this: Scenario, limit: number, server: string) {
        const [from, until] = (runsOf.get(this)?.schedulingCase?.faults ?? []).map(fault => fault.atMs);
        const sent = dispatchTimes(currentRunOf(this), server).filter(atMs => atMs >= from && atMs < until);
        assert.ok(sent.length > 0 && sent.length < limit, `${sent.length} calls were sent`);
    },
);

Then("{string} was ejected, and was sent work again before the end", function(this: Scenario, server: string) {
    const run = currentRunOf(this);
    const events = run.fleet.nodes.flatMap(node => node.ring.list());
    assert.ok(events.some(event => event.kind === "ejected" && event.peer === server));
    const until = runsOf.get(this)?.schedulingCase?.faults.at(-1)?.atMs ?? Infinity;
    assert.ok(dispatchTimes(run, server).some(atMs => atMs > until));
});

function findCase(name: string): SchedulingCase {
    const found = SCHEDULING_CASES.find(candidate => candidate.name === name);
    assert.ok(found !== undefined, `no scheduling case is named "${name}"`);
    return found;
}

function currentRunOf(scenario: Scenario): RunResult {
    const { current } = runsOf.get(scenario) ?? {};
    assert.ok(current !== undefined);
    return current;
}

/** Returns the times of dispatches to a backend server since the first arrival, in milliseconds. */
function dispatchTimes({ history, outcomes }: RunResult, server: string): readonly number[] {
    const startMs = history.records[0].arrivedAtMs - outcomes[0].arrival.atMs;
    return history.records.filter(stay => stay.server === server).map(stay => stay.leftAtMs - startMs);
}

function parseExecuted(outcome: CallOutcome): string {
    return (JSON.parse(outcome.answer.writer.text) as { readonly executed: string }).executed;
}

/** Returns the time within which a call must be answered, in milliseconds. */
function deadlineMsOf(outcome: CallOutcome): number {
    return outcome.arrival.operation === "desk-question" || outcome.arrival.operation === "eligibility-flag" ? 5_000 : 30_000;
}

function parseStreamText(text: string): string {
    const events = text.split("\n\n").filter(event => event !== "").map(event => event.slice("data: ".length));
    assert.equal(events.pop(), "[DONE]");
    return events.map(event => (JSON.parse(event) as StreamChunk).choices[0].delta?.content ?? "").join("");
}

/** Fields of a streamed chunk that the steps read. */
interface StreamChunk {
    readonly choices: readonly { readonly delta?: { readonly content?: string } }[];
}
