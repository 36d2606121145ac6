/**
 * Steps for rollouts in a simulated fleet.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { RolloutPhase } from "../../src/coordination/mod.js";
import type { EntryNode } from "../../src/daemon/mod.js";
import { rolloutWire, Webhook, type WebhookEvent } from "../../src/protocol/mod.js";
import { EngineVersionFault, runVersion } from "../../standin/version_fault.js";
import type { Scenario } from "../support/world.js";

/** Pool that the rollouts change. */
const POOL = "language-model";

/** Default time from the start of a rollout to its deadline, in milliseconds. */
const DEFAULT_DURATION_MS = 120_000;

/** Number of calls for which each node is asked to choose a version. */
const SAMPLED_CALLS = 500;

/** Webhook fault in which the node that delivers first is stopped before the receiver recovers. */
const FIRST_NODE_STOPS = "is down while the first node stops";

/** Rollout, operator replies and webhook of one scenario. */
interface RolloutScenario {
    rollout: string;
    replies: rolloutWire.ChangeRolloutReply[];
    webhook: FaultyWebhook | undefined;
    initialShare: number;
}

const states = new WeakMap<Scenario, RolloutScenario>();

Given(
    "the {string} fleet with version {string} beside the old one",
    async function(this: Scenario, example: string, version: string) {
        await startFleet(this, example, version);
    },
);

Given(
    "the {string} fleet with version {string} beside the old one and a webhook receiver that {}",
    async function(this: Scenario, example: string, version: string, fault: string) {
        const webhook = new FaultyWebhook(fault);
        await startFleet(this, example, version, webhook);
    },
);

Given(
    "the {string} fleet with version {string} that {} on half of the engines",
    async function(this: Scenario, example: string, version: string, behaviour: string) {
        await startFleet(this, example, version, undefined, behaviour as EngineVersionFault);
    },
);

Given("a rollout to {string} that was paused", async function(this: Scenario, version: string) {
    await startRollout(this, version);
    await changeRollout(this, this.fleet.nodes[0], rolloutWire.RolloutOrder.PAUSE);
});

Given("a rollout to {string} that needs 30 more servers", async function(this: Scenario, version: string) {
    await startRollout(this, version, { neededServers: 33 });
});

Given("a rollout to {string} that was rolled back", async function(this: Scenario, version: string) {
    await startRollout(this, version);
    await changeRollout(this, this.fleet.nodes[0], rolloutWire.RolloutOrder.ROLL_BACK);
    if (stateOf(this).webhook?.fault === FIRST_NODE_STOPS) {
        await this.fleet.clock.runUntil(this.fleet.nodes[0].stop());
    }
});

Given("a rollout to {string} that has 3% of the calls", async function(this: Scenario, version: string) {
    await startRollout(this, version);
    await this.fleet.clock.advance(5_000);
    for (const node of this.fleet.nodes) {
        const share = countRoutedCalls(node, version) / SAMPLED_CALLS;
        assert.ok(share > 0 && share < 0.05, `${node.settings.node} sends ${share} of its calls to the version`);
    }
    stateOf(this).initialShare = candidateShareOf(this, lastNode(this));
});

Given("a rollout to {string} with a deadline of 100 seconds", async function(this: Scenario, version: string) {
    await startRollout(this, version, { deadlineMs: this.fleet.clock.now() + 100_000 });
});

Given("the answers of the log are lost", function(this: Scenario) {
    this.fleet.log.faults.loseAnswers = true;
});

When("an operator starts a rollout to {string}", async function(this: Scenario, version: string) {
    stateOf(this).replies.push(await startAndAwait(this, this.fleet.nodes[0], { version }));
});

When("an operator starts a rollout with {word} {string}", async function(this: Scenario, field: string, value: string) {
    const change = field === "deadline" ? { deadlineMs: this.fleet.clock.now() - 1 } : { [field]: value };
    stateOf(this).replies.push(await startAndAwait(this, this.fleet.nodes[0], change));
});

When("two operators concurrently start rollouts of one pool on two nodes", async function(this: Scenario) {
    const [first, second] = this.fleet.nodes;
    const pendingReplies = Promise.all([
        requestStart(this, first, { author: "first" }),
        requestStart(this, second, { author: "second" }),
    ]);
    stateOf(this).replies.push(...await this.fleet.clock.runUntil(pendingReplies));
});

When("one operator rolls it back while another resumes it on another node", async function(this: Scenario) {
    const [first, second] = this.fleet.nodes;
    const { rollout } = stateOf(this);
    const common = { rollout, author: "operator", reason: "race", madeAgainst: -1 };
    const pendingReplies = Promise.all([
        second.rolloutOperatorService.change({ ...common, order: rolloutWire.RolloutOrder.RESUME }),
        first.rolloutOperatorService.change({ ...common, order: rolloutWire.RolloutOrder.ROLL_BACK }),
    ]);
    stateOf(this).replies.push(...await this.fleet.clock.runUntil(pendingReplies));
});

When("an operator resumes it against an older revision", async function(this: Scenario) {
    await changeRollout(this, this.fleet.nodes[1], rolloutWire.RolloutOrder.RESUME, 0);
});

When("an operator rolls the rollout back on the first node", function(this: Scenario) {
    const { rollout } = stateOf(this);
    const change = { rollout, author: "operator", reason: "wrong totals", madeAgainst: -1 };
    void this.fleet.nodes[0].rolloutOperatorService.change({ ...change, order: rolloutWire.RolloutOrder.ROLL_BACK });
});

When(/^no fault occurs$/, () => undefined);

When("the log goes down", function(this: Scenario) {
    this.fleet.log.faults.down = true;
});

When(
    /^the last node is partitioned from (the log|all other nodes|the log and all other nodes)$/,
    function(this: Scenario, from: string) {
        const { settings: { node } } = lastNode(this);
        if (from !== "the log") {
            this.fleet.disseminationHub.setIsolated(node, true);
        }
        const connection = this.fleet.nodeLogs.get(node);
        if (from !== "all other nodes" && connection !== undefined) {
            connection.faults.refuse = true;
        }
    },
);

When("the last node is replaced while the log is down", async function(this: Scenario) {
    this.fleet.log.faults.down = true;
    await this.fleet.replaceNode(this.fleet.nodes.length - 1);
});

When("the rollout continues for {int} seconds", async function(this: Scenario, seconds: number) {
    await this.fleet.clock.advance(seconds * 1_000);
});

When("callers send {int} calls per second until the rollout ends", async function(this: Scenario, rate: number) {
    const node = this.fleet.nodes[0];
    const { rollout } = stateOf(this);
    for (let elapsedMs = 0; elapsedMs < 100_000 && isActive(node, rollout); elapsedMs += 1_000 / rate) {
        sendCall(this);
        await this.fleet.clock.advance(1_000 / rate);
    }
    await this.finishCalls();
    await this.fleet.clock.advance(3_000);
});

Then(
    "the rollout is rejected and the problem names {string} and {string}",
    function(this: Scenario, field: string, value: string) {
        const reply = stateOf(this).replies.at(-1);
        assert.equal(reply?.accepted, false);
        const text = reply?.problems.join("\n").toLowerCase() ?? "";
        assert.ok(text.includes(field), text);
        assert.ok(value === "past" || text.includes(value.toLowerCase()), text);
    },
);

Then("one rollout is active on every node and the problem of the other operator names it", async function(this: Scenario) {
    await this.fleet.clock.advance(3_000);
    const { replies } = stateOf(this);
    assert.deepEqual(replies.map(reply => reply.accepted).sort(), [false, true]);
    const refused = replies.find(reply => !reply.accepted);
    const accepted = replies.find(reply => reply.accepted);
    assert.ok(refused?.problems[0].includes(accepted?.rollout ?? "none"), refused?.problems[0]);
    for (const node of this.fleet.nodes) {
        assert.deepEqual([...node.rolloutFollower.registry.all].map(rollout => rollout.id), [accepted?.rollout]);
    }
});

Then("the rollout is {string} on every node", async function(this: Scenario, phase: string) {
    await this.fleet.clock.advance(3_000);
    assertPhase(this, phase);
});

Then("the rollout is {string} on every node before its deadline", function(this: Scenario, phase: string) {
    assertPhase(this, phase);
    const { rollout } = stateOf(this);
    const { deadlineMs = 0 } = this.fleet.nodes[0].rolloutFollower.registry.get(rollout) ?? {};
    assert.ok(this.fleet.clock.now() - 3_000 <= deadlineMs + 35_000);
    const phaseEvent = this.fleet.nodes[0].ring.list().find(event => event.kind === phase);
    assert.ok((phaseEvent?.time.wallMs ?? Infinity) <= deadlineMs, `${phase} came after the deadline`);
});

Then("no node sends a call to {string}", function(this: Scenario, version: string) {
    assertNoCallsRouted(this, version);
});

Then("{int} seconds later no node sends a call to {string}", async function(this: Scenario, seconds: number, version: string) {
    await this.fleet.clock.advance(seconds * 1_000);
    assertNoCallsRouted(this, version);
});

Then(
    "no node does so after the recovery, and the rollout is {string} on every node",
    async function(this: Scenario, phase: string) {
        this.fleet.log.faults.down = false;
        for (const node of this.fleet.nodes) {
            this.fleet.disseminationHub.setIsolated(node.settings.node, false);
            const connection = this.fleet.nodeLogs.get(node.settings.node);
            if (connection !== undefined) {
                connection.faults.refuse = false;
            }
        }
        for (let second = 0; second < 25; second++) {
            await this.fleet.clock.advance(1_000);
            assertNoCallsRouted(this, "2.0");
        }
        assertPhase(this, phase);
    },
);

Then("the operator is told that the rollout has changed", function(this: Scenario) {
    const reply = stateOf(this).replies.at(-1);
    assert.equal(reply?.accepted, false);
    assert.match(reply?.problems[0] ?? "", /was changed at revision 1; the resume was made against 0/);
});

Then("the operator is told that it was started", function(this: Scenario) {
    assert.deepEqual(stateOf(this).replies.at(-1)?.problems, []);
});

Then("every node has {int} rollout", async function(this: Scenario, count: number) {
    await this.fleet.clock.advance(3_000);
    for (const node of this.fleet.nodes) {
        assert.equal([...node.rolloutFollower.registry.all].length, count);
    }
});

Then("the last node has not increased its share", function(this: Scenario) {
    const { initialShare } = stateOf(this);
    assert.ok(candidateShareOf(this, lastNode(this)) <= initialShare);
    assert.ok(candidateShareOf(this, this.fleet.nodes[0]) > initialShare, "the first node did not increase its share");
});

Then("the rollout is announced as late before its deadline, with the reason {string}", function(this: Scenario, reason: string) {
    for (const node of this.fleet.nodes) {
        const rollout = node.rolloutFollower.registry.get(stateOf(this).rollout);
        assert.equal(rollout?.lateReason, reason);
        assert.ok(this.fleet.clock.now() < (rollout?.deadlineMs ?? 0));
        assert.ok(node.ring.list().some(event => event.kind === "late" && event.text.includes(reason)));
    }
});

Then("the receiver has event {string} with a single id", function(this: Scenario, kind: string) {
    const { webhook, rollout } = stateOf(this);
    const ids = new Set(webhook?.receivedEvents.map(event => event.id));
    assert.deepEqual([...ids], [`${rollout}/${kind}`]);
});

Then("the log records the delivery", function(this: Scenario) {
    const { rollout } = stateOf(this);
    for (const node of this.fleet.nodes.slice(1)) {
        assert.ok(node.rolloutFollower.registry.isDelivered(`${rollout}/rolledBack`));
    }
});

Then("the engines with {string} get {word} of 30 further calls", async function(this: Scenario, version: string, count: string) {
    const before = countDispatchedCalls(this, version);
    const othersBefore = countDispatchedCalls(this, version, true);
    for (let call = 0; call < 30; call++) {
        sendCall(this);
    }
    await this.finishCalls();
    // A call is retried when its first token takes too long, so calls are counted rather than dispatches.
    const others = countDispatchedCalls(this, version, true) - othersBefore;
    const calls = countDispatchedCalls(this, version) - before;
    assert.deepEqual([calls, others], count === "all" ? [30, 0] : [0, 30]);
});

/** Webhook receiver with an injected fault. */
class FaultyWebhook extends Webhook {
    readonly receivedEvents: WebhookEvent[] = [];
    now: () => number = () => 0;
    private failingSinceMs: number | undefined;

    constructor(readonly fault: string) {
        super();
    }

    override async deliver(event: WebhookEvent): Promise<void> {
        this.failingSinceMs ??= this.now();
        const elapsedMs = this.now() - this.failingSinceMs;
        const downMs = this.fault === "is down for 60 seconds" ? 60_000 : this.fault === FIRST_NODE_STOPS ? 3_000 : 0;
        if (elapsedMs < downMs) {
            throw new Error("the connection was refused");
        }
        this.receivedEvents.push(event);
        if (this.fault === "loses its answers for 20 seconds" && elapsedMs < 20_000) {
            throw new Error("the answer was lost");
        }
    }
}

async function startFleet(
    scenario: Scenario,
    example: string,
    version: string,
    webhook?: FaultyWebhook,
    fault = EngineVersionFault.None,
): Promise<void> {
    await scenario.startFleet(example, { webhook });
    states.set(scenario, { rollout: "", replies: [], webhook, initialShare: 0 });
    const { clock } = scenario.fleet;
    if (webhook !== undefined) {
        webhook.now = () => clock.now();
    }
    const engines = [...scenario.fleet.engines.values()];
    for (const [index, engine] of engines.entries()) {
        if (index % 2 === 1) {
            runVersion(engine, version, fault);
        }
    }
    await clock.advance(3_000);
}

/** Starts a rollout and requires that it is accepted. */
async function startRollout(
    scenario: Scenario,
    version: string,
    change: Partial<rolloutWire.StartRolloutRequest> = {},
): Promise<void> {
    const reply = await startAndAwait(scenario, scenario.fleet.nodes[0], { version, ...change });
    assert.deepEqual(reply.problems, []);
    stateOf(scenario).rollout = reply.rollout;
    await scenario.fleet.clock.advance(100);
}

/** Requests a rollout and advances the clock until the reply arrives. */
function startAndAwait(
    scenario: Scenario,
    node: EntryNode,
    change: Partial<rolloutWire.StartRolloutRequest>,
): Promise<rolloutWire.ChangeRolloutReply> {
    return scenario.fleet.clock.runUntil(requestStart(scenario, node, change));
}

/** Requests a rollout without advancing the clock. */
function requestStart(
    scenario: Scenario,
    node: EntryNode,
    change: Partial<rolloutWire.StartRolloutRequest>,
): Promise<rolloutWire.ChangeRolloutReply> {
    const deadlineMs = Math.floor(scenario.fleet.clock.now()) + DEFAULT_DURATION_MS;
    return node.rolloutOperatorService.start({
        pool: POOL,
        version: "2.0",
        deadlineMs,
        author: "operator",
        neededServers: 0,
        ...change,
    });
}

async function changeRollout(
    scenario: Scenario,
    node: EntryNode,
    order: rolloutWire.RolloutOrder,
    madeAgainst = -1,
): Promise<void> {
    const { rollout, replies } = stateOf(scenario);
    const change = { rollout, author: "operator", reason: "test", order, madeAgainst };
    replies.push(await scenario.fleet.clock.runUntil(node.rolloutOperatorService.change(change)));
}

function stateOf(scenario: Scenario): RolloutScenario {
    const state = states.get(scenario);
    if (state === undefined) {
        throw new Error("Cannot use the rollout: no step has started the fleet");
    }
    return state;
}

function lastNode(scenario: Scenario): EntryNode {
    return scenario.fleet.nodes[scenario.fleet.nodes.length - 1];
}

function candidateShareOf(scenario: Scenario, node: EntryNode): number {
    return node.rollouts.controller(stateOf(scenario).rollout)?.share ?? 0;
}

/** Counts the sampled calls for which a node prefers a version that is not forbidden. */
function countRoutedCalls(node: EntryNode, version: string): number {
    let routedCalls = 0;
    for (let call = 0; call < SAMPLED_CALLS; call++) {
        const query = { callId: `call-${call}`, operation: "dossier-summary", pool: POOL, retry: false };
        const { preferred, forbidden } = node.rollouts.choose(query);
        routedCalls += Number(preferred[0] === version && !forbidden.has(version));
    }
    return routedCalls;
}

function assertNoCallsRouted(scenario: Scenario, version: string): void {
    for (const node of scenario.fleet.nodes) {
        assert.equal(countRoutedCalls(node, version), 0, `${node.settings.node} sends calls to ${version}`);
    }
}

function assertPhase(scenario: Scenario, phase: string): void {
    const { rollout } = stateOf(scenario);
    for (const node of scenario.fleet.nodes) {
        assert.equal(node.rolloutFollower.registry.get(rollout)?.phase, phase, node.settings.node);
    }
}

function isActive(node: EntryNode, rollout: string): boolean {
    const phase = node.rolloutFollower.registry.get(rollout)?.phase;
    return phase === RolloutPhase.Running || phase === RolloutPhase.Paused;
}

function sendCall(scenario: Scenario): void {
    const { fleet, answers, bodies } = scenario;
    const messages = [{ role: "user", content: `Call ${answers.length}: summarise the dossier.` }];
    const body = Buffer.from(JSON.stringify({ model: "default", max_tokens: 24, messages }));
    const operationName = answers.length % 3 === 0 ? "eligibility-flag" : "dossier-summary";
    bodies.push(body);
    answers.push(fleet.send(fleet.nodes[answers.length % fleet.nodes.length], { body, operationName }));
}

/** Counts the calls that were dispatched to engines with a version or, with `others`, to all other engines. */
function countDispatchedCalls(scenario: Scenario, version: string, others = false): number {
    const engineIds = new Set(
        [...scenario.fleet.engines].filter(([, engine]) => (engine.version === version) !== others).map(([id]) => id),
    );
    const dispatches = scenario.fleet.nodes
        .flatMap(node => node.ring.list())
        .filter(event => event.kind === "dispatched" && engineIds.has(event.peer ?? ""));
    return new Set(dispatches.map(event => event.requestId)).size;
}
