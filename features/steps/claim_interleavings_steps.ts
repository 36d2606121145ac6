/**
 * Steps that check random interleavings of claims against an oracle: the requests that services received.
 *
 * @module
 */

import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { readDeployment } from "../../standin/deployment.js";
import { InProcessFleet } from "../../standin/in_process_fleet.js";
import type { Scenario } from "../support/world.js";

/** Retention of the log, in milliseconds; shorter than a run, so that keys can outlive their records. */
const LOG_RETENTION_MS = 30_000;

/** Time to wait for all calls of a run to end, in milliseconds. */
const SETTLE_MS = 60_000;

/** Number of idempotency keys in one run. */
const KEY_COUNT = 3;

/** Maximum number of actions in an interleaving. */
const MAX_ACTIONS = 25;

/** Latency added to each call to the log by {@linkcode ActionKind.SlowLog}, in milliseconds. */
const SLOW_LOG_DELAY_MS = 800;

/** Kinds of actions in an interleaving. */
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

/** Step of an interleaving: a filing, a fault or a wait. */
interface Action {
    readonly kind: ActionKind;
    /** Index of the node that gets the filing or the fault. */
    readonly node: number;
    /** Index of the idempotency key of the filing. */
    readonly key: number;
    /** Variant of the body; another body with the same key is a conflict. */
    readonly body: number;
    /** Time to wait after the action, in milliseconds. */
    readonly waitMs: number;
}

/** Answer that one caller got. */
interface CallerAnswer {
    readonly key: string;
    readonly body: string;
    readonly status: number;
    readonly text: string;
    /** Number of requests with the id of this call that services had received when the call ended. */
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

Then("no run executed a filing twice or gave a false answer", function(this: Scenario) {
    const result = checkResults.get(this) as fc.RunDetails<[Action[]]>;
    assert.ok(!result.failed, fc.defaultReportMessage(result));
});

/** Runs one interleaving and checks the answers against the requests that services received. */
async function runInterleaving(nodes: number, actions: readonly Action[]): Promise<void> {
    const deployment = await readDeployment("examples/rastro-sul.yaml");
    const entryVms = Array.from({ length: nodes }, () => ({ failureDomain: "sul-a" }));
    const fleet = new InProcessFleet({ deployment: { ...deployment, entryVms }, log: { retentionMs: LOG_RETENTION_MS } });
    await fleet.start();
    const keys = Array.from({ length: KEY_COUNT }, (value, index) => toDatedKey(fleet.clock.now(), index));
    const callerAnswers: CallerAnswer[] = [];
    const sentCallIds = recordSentCalls(fleet);
    for (const action of actions) {
        applyAction(fleet, action, { keys, callerAnswers, sentCallIds });
        await fleet.clock.advance(action.waitMs);
    }
    clearFaults(fleet);
    await fleet.clock.advance(SETTLE_MS);
    await fleet.clock.runUntil(Promise.all(fleet.nodes.map(node => node.stop())));
    assertInvariants(keys, callerAnswers, sentCallIds);
}

/** Keys of a run, the answers of its calls and the requests that services received. */
interface RunRecord {
    readonly keys: readonly string[];
    readonly callerAnswers: CallerAnswer[];
    /** Ids of the calls that were sent to a service, by idempotency key. */
    readonly sentCallIds: Map<string, string[]>;
}

function applyAction(fleet: InProcessFleet, action: Action, record: RunRecord): void {
    const link = fleet.links[action.node];
    switch (action.kind) {
        case ActionKind.SubmitFiling:
            void submitFiling(fleet, action, record);
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

/** Ends every fault and resumes all nodes. */
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
    { keys, callerAnswers, sentCallIds }: RunRecord,
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
    const ownRequestCount = (sentCallIds.get(key) ?? []).filter(each => each === id).length;
    callerAnswers.push({ key, body, id, ownRequestCount, status: writer.head?.status ?? 0, text: writer.text });
}

/** Records the ids of the calls that services receive, by idempotency key. */
function recordSentCalls(fleet: InProcessFleet): Map<string, string[]> {
    const sentCallIds = new Map<string, string[]>();
    for (const service of fleet.services.values()) {
        const send = service.send.bind(service);
        service.send = (request, signal) => {
            const key = request.idempotencyKey ?? "";
            sentCallIds.set(key, [...sentCallIds.get(key) ?? [], request.id]);
            return send(request, signal);
        };
    }
    return sentCallIds;
}

/** Asserts that each key was sent at most once, and that every answer agrees with what was sent. */
function assertInvariants(
    keys: readonly string[],
    callerAnswers: readonly CallerAnswer[],
    sentCallIds: Map<string, string[]>,
): void {
    for (const key of keys) {
        const requests = sentCallIds.get(key) ?? [];
        assert.ok(requests.length <= 1, `key ${key} was sent ${requests.length} times: ${requests.join(", ")}`);
        const answers = callerAnswers.filter(each => each.key === key && each.status === 200);
        assert.ok(answers.length === 0 || requests.length === 1, `key ${key} was answered but never sent`);
        assert.ok(new Set(answers.map(({ text }) => text)).size <= 1, `key ${key} got different answers`);
        assert.ok(new Set(answers.map(({ body }) => body)).size <= 1, `key ${key} was answered for two different bodies`);
    }
    for (const answer of callerAnswers) {
        const sent = (sentCallIds.get(answer.key) ?? []).includes(answer.id);
        const saysNotExecuted = answer.text.includes('"executed":"no"');
        assert.ok(
            !saysNotExecuted || answer.ownRequestCount === 0 && !sent,
            `call ${answer.id} was sent but answered with executed "no"`,
        );
    }
}

/** Returns a UUID of version 7 with a creation time and an index as its last digit. */
function toDatedKey(createdAtMs: number, index: number): string {
    const time = createdAtMs.toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-00000000000${index}`;
}
