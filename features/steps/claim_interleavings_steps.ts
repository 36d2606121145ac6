/**
 * Steps that run random interleavings of claims against an oracle.
 *
 * @module
 */

import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { readDeployment } from "../../standin/deployment.js";
import { InProcessFleet } from "../../standin/in_process_fleet.js";
import type { Scenario } from "../support/world.js";

/** Time for which the log keeps records; keys outlive it within one run, in milliseconds. */
const LOG_RETENTION_MS = 30_000;

/** Time after which every call of a run has ended, in milliseconds. */
const SETTLE_MS = 60_000;

/** Keys of one run. */
const KEY_COUNT = 3;

/** Longest interleaving. */
const MAX_ACTIONS = 25;

/** Time added to each call of a slow log, in milliseconds. */
const SLOW_LOG_DELAY_MS = 800;

/** Kind of one action. */
enum ActionKind {
    SubmitFiling = "file",
    Wait = "wait",
    Pause = "pause",
    Resume = "continue",
    IsolateFromLog = "cutFromLog",
    IsolateFromPeers = "cutFromPeers",
    LoseAppendAnswers = "loseAnswers",
    SlowLog = "slowLog",
    LogDown = "logDown",
    Heal = "heal",
}

/** One action of an interleaving. */
interface Action {
    readonly kind: ActionKind;
    /** Node that acts or fails. */
    readonly node: number;
    /** Key that is filed. */
    readonly key: number;
    /** Body that is filed; another body under the same key is a conflict. */
    readonly body: number;
    /** Time to wait after the action, in milliseconds. */
    readonly waitMs: number;
}

/** What one caller was told. */
interface CallerAnswer {
    readonly key: string;
    readonly body: string;
    readonly status: number;
    readonly text: string;
    /** Requests with the id of this very call that a service got, when the call was answered. */
    readonly ownRequestCount: number;
    readonly id: string;
}

const ACTION_KINDS = Object.values(ActionKind);

const checkResults = new WeakMap<Scenario, fc.RunDetails<[Action[]]>>();

When(
    "{int} random interleavings of {int} nodes are run with seed {int}",
    async function(this: Scenario, runs: number, nodes: number, seed: number) {
        const action: fc.Arbitrary<Action> = fc.record({
            kind: fc.oneof({ weight: 8, arbitrary: fc.constant(ActionKind.SubmitFiling) }, {
                weight: 8,
                arbitrary: fc.constantFrom(...ACTION_KINDS),
            }),
            node: fc.nat(nodes - 1),
            key: fc.nat(KEY_COUNT - 1),
            body: fc.oneof({ weight: 9, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.constant(1) }),
            waitMs: fc.constantFrom(0, 1, 2, 3, 5, 8, 20, 100, 2_000, 12_000),
        });
        const property = fc.asyncProperty(
            fc.array(action, { minLength: 4, maxLength: MAX_ACTIONS }),
            actions => runInterleaving(nodes, actions),
        );
        checkResults.set(this, await fc.check(property, { seed, numRuns: runs, endOnFailure: false }));
    },
);

Then("in none of them a filing ran twice or an answer was false", function(this: Scenario) {
    const result = checkResults.get(this) as fc.RunDetails<[Action[]]>;
    assert.ok(!result.failed, fc.defaultReportMessage(result));
});

/** Runs one interleaving and checks it against the oracle: the requests that the services got. */
async function runInterleaving(nodes: number, actions: readonly Action[]): Promise<void> {
    const deployment = await readDeployment("examples/rastro-sul.yaml");
    const entryVms = Array.from({ length: nodes }, () => ({ failureDomain: "sul-a" }));
    const fleet = new InProcessFleet({ deployment: { ...deployment, entryVms }, log: { retentionMs: LOG_RETENTION_MS } });
    await fleet.start();
    const keys = Array.from({ length: KEY_COUNT }, (value, index) => toDatedKey(fleet.clock.now(), index));
    const told: CallerAnswer[] = [];
    const sent = recordSentCalls(fleet);
    for (const action of actions) {
        applyAction(fleet, action, { keys, callerAnswers: told, sentCallIds: sent });
        await fleet.clock.advance(action.waitMs);
    }
    clearFaults(fleet);
    await fleet.clock.advance(SETTLE_MS);
    await fleet.clock.runUntil(Promise.all(fleet.nodes.map(node => node.stop())));
    assertInvariants(keys, told, sent);
}

/** What a run collects. */
interface RunRecord {
    readonly keys: readonly string[];
    readonly callerAnswers: CallerAnswer[];
    /** Ids of the calls that reached a service, by key. */
    readonly sentCallIds: Map<string, string[]>;
}

function applyAction(fleet: InProcessFleet, action: Action, collected: RunRecord): void {
    const link = fleet.links[action.node];
    switch (action.kind) {
        case ActionKind.SubmitFiling:
            void submitFiling(fleet, action, collected);
            return;
        case ActionKind.Pause:
            link.pause();
            return;
        case ActionKind.Resume:
            link.resume();
            return;
        case ActionKind.IsolateFromLog:
            link.isolatedFromLog = true;
            return;
        case ActionKind.IsolateFromPeers:
            link.isolatedFromPeers = true;
            return;
        case ActionKind.LoseAppendAnswers:
            link.loseAppendAnswers = true;
            return;
        case ActionKind.SlowLog:
            link.logDelayMs = SLOW_LOG_DELAY_MS;
            return;
        case ActionKind.LogDown:
            fleet.log.faults.down = true;
            return;
        case ActionKind.Heal:
            clearFaults(fleet);
            return;
        default:
            return;
    }
}

function clearFaults(fleet: InProcessFleet): void {
    fleet.log.faults.down = false;
    for (const link of fleet.links) {
        link.isolatedFromLog = false;
        link.isolatedFromPeers = false;
        link.loseAppendAnswers = false;
        link.logDelayMs = 0;
        link.resume();
    }
}

async function submitFiling(
    fleet: InProcessFleet,
    action: Action,
    { keys, callerAnswers: told, sentCallIds: sent }: RunRecord,
): Promise<void> {
    const key = keys[action.key];
    const body = `{"body":${action.body}}`;
    const answer = fleet.send(fleet.nodes[action.node], {
        path: "/v1/services/case-management/claims",
        idempotencyKey: key,
        body: Buffer.from(body),
    });
    await answer.done;
    const { id, writer } = answer;
    const ownRequests = (sent.get(key) ?? []).filter(each => each === id).length;
    told.push({ key, body, id, ownRequestCount: ownRequests, status: writer.head?.status ?? 0, text: writer.text });
}

function recordSentCalls(fleet: InProcessFleet): Map<string, string[]> {
    const sent = new Map<string, string[]>();
    for (const service of fleet.services.values()) {
        const send = service.send.bind(service);
        service.send = (request, signal) => {
            const key = request.idempotencyKey ?? "";
            sent.set(key, [...sent.get(key) ?? [], request.id]);
            return send(request, signal);
        };
    }
    return sent;
}

function assertInvariants(keys: readonly string[], told: readonly CallerAnswer[], sent: Map<string, string[]>): void {
    for (const key of keys) {
        const requests = sent.get(key) ?? [];
        assert.ok(requests.length <= 1, `key ${key} was sent ${requests.length} times: ${requests.join(", ")}`);
        const answers = told.filter(each => each.key === key && each.status === 200);
        assert.ok(answers.length === 0 || requests.length === 1, `key ${key} was answered and never sent`);
        assert.ok(new Set(answers.map(({ text }) => text)).size <= 1, `key ${key} had different answers`);
        assert.ok(new Set(answers.map(({ body }) => body)).size <= 1, `key ${key} was answered for two bodies`);
    }
    for (const each of told) {
        const late = (sent.get(each.key) ?? []).includes(each.id);
        const saysNotRun = each.text.includes('"executed":"no"');
        assert.ok(!saysNotRun || each.ownRequestCount === 0 && !late, `call ${each.id} was sent and told "no"`);
    }
}

function toDatedKey(createdAtMs: number, index: number): string {
    const time = createdAtMs.toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-00000000000${index}`;
}
