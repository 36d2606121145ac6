/**
 * Steps about the decisions of the relay, under a virtual clock.
 *
 * @module
 */

import { type DataTable, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import {
    AdmissionGate,
    AttemptOutcome,
    type CallPriority,
    chooseServer,
    comparePriority,
    decideRetryAfter,
    decideRollout,
    decideWaitLimits,
    EventStreamSplitter,
    LogHealth,
    type RolloutDecision,
    RolloutEvidence,
    type RolloutFinding,
    type ServerCapacity,
    ServerCatalog,
    ServerState,
    ServiceScheduler,
    type WaitLimits,
    WorkspaceQuota,
} from "../../src/coordination/relay/mod.js";
import {
    type RelayRoute,
    type RelayServer,
    RouteTable,
    SeededRandom,
    Semantics,
    ServerProfile,
} from "../../src/state/relay/mod.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Sliding window over which a quota is checked, in milliseconds. */
const QUOTA_WINDOW_MS = 8_000;

/** Tokens of one call of the quota scenarios. */
const TOKENS_PER_CALL = 20;

/** Deadline that callers of the wait limit scenarios usually set, in milliseconds. */
const FIRST_ATTEMPT_DEADLINE_MS = 1_000;

/** Interval at which the quota scenarios send calls, in milliseconds. */
const QUOTA_STEP_MS = 10;

/** Time for which reads of the log fail in an outage, in milliseconds. */
const OUTAGE_DURATION_MS = 4_000;

/** Interval of the peer reports in the admission scenarios, in milliseconds. */
const REPORT_INTERVAL_MS = 200;

/** Interval at which the queue scenarios dispatch waiting calls, in milliseconds. */
const DISPATCH_INTERVAL_MS = 40;

/** Time after which the queue scenarios end, in milliseconds. */
const MAX_WAIT_MS = 3_000;

/** Admissions that exceed any limited allotment. */
const UNLIMITED_ADMISSIONS = 1_000;

/** State of a scenario of this file. */
interface DecisionScenario extends Scenario {
    clock: VirtualClock;
    routes: RouteTable;
    waitingCalls: readonly (CallPriority & { readonly call: string })[];
    dispatchAtMs: number;
    waitLimits: WaitLimits;
    retryDelaysMs: readonly (number | undefined)[];
    servers: Map<string, ServerState>;
    nodeQuotas: WorkspaceQuota[];
    isolatedNodes: number;
    reportIntervalMs: number;
    quota: { readonly rate: number; readonly burst: number };
    admitted: { readonly atMs: number; readonly tokens: number }[];
    logHealth: LogHealth;
    catalog: ServerCatalog;
    serverRemovedAtMs: number | undefined;
    entryRemovedAtMs: number;
    forwarded: Buffer;
    forwardedCount: number;
    splitter: EventStreamSplitter;
    decision: RolloutDecision;
    capacities: readonly ServerCapacity[];
    gate: AdmissionGate;
    scheduler: ServiceScheduler;
    peerInTimeCalls: number;
    refusedAfterMs: number | undefined;
    profile: ServerProfile;
    rolloutCalls: { readonly target: number; readonly all: number }[];
}

function makeRoute(pathPrefix: string, objectiveMs = 500): RelayRoute {
    return {
        name: pathPrefix,
        host: "a.example",
        pathPrefix,
        semantics: Semantics.Repeatable,
        isStream: false,
        isResumable: false,
        timeoutMs: 15_000,
        objectiveMs,
        maxPauseMs: undefined,
        rank: 0,
        shares: [{ service: "s", weight: 1 }],
        maxAttempts: 2,
        isPublic: false,
    };
}

function makeServer(id: string, changes: Partial<RelayServer> = {}): RelayServer {
    return {
        id,
        service: "s",
        address: "127.0.0.1:1",
        failureDomain: "here",
        version: "v1",
        slots: 10,
        isDraining: false,
        startedAtMs: 1_000,
        sequence: 1,
        warmUpMs: 0,
        ...changes,
    };
}

Given("routes of {string} for {string}, {string} and {string}", function(
    this: DecisionScenario,
    host: string,
    first: string,
    second: string,
    third: string,
) {
    assert.equal(host, "a.example");
    this.routes = new RouteTable([first, second, third].map(prefix => makeRoute(prefix)));
});

Then("a call of {string} for {string} takes the route {string}", function(
    this: DecisionScenario,
    host: string,
    path: string,
    route: string,
) {
    assert.equal(this.routes.find(host, path)?.name ?? "none", route);
});

Given("these waiting calls at {int} ms", function(this: DecisionScenario, atMs: number, table: DataTable) {
    this.dispatchAtMs = atMs;
    this.waitingCalls = table.hashes().map(row => ({
        call: row["call"] ?? "",
        workspaceRank: Number(row["workspace"]),
        routeRank: Number(row["route"]),
        inTimeUntilMs: Number(row["in time until"]),
        arrivedAtMs: Number(row["arrived"]),
        isCallerRetry: row["retry"] === "yes",
    }));
});

Then("they are dispatched in the order {string}", function(this: DecisionScenario, order: string) {
    const sorted = [...this.waitingCalls].sort((left, right) => comparePriority(left, right, this.dispatchAtMs));
    assert.equal(sorted.map(waiting => waiting.call).join(", "), order);
});

When("a call with an objective of {int} ms and a deadline of {int} ms arrives", function(
    this: DecisionScenario,
    objectiveMs: number,
    deadlineMs: number,
) {
    const deadline = { arrivedAtMs: 0, deadlineMs, firstAttemptDeadlineMs: Math.max(deadlineMs, FIRST_ATTEMPT_DEADLINE_MS) };
    this.waitLimits = decideWaitLimits(makeRoute("/", objectiveMs), deadline);
});

Then("it is in time for {int} ms and may wait for {int} ms", function(
    this: DecisionScenario,
    inTimeMs: number,
    giveUpMs: number,
) {
    const { inTimeUntilMs, giveUpAtMs } = this.waitLimits;
    assert.deepEqual({ inTimeUntilMs, giveUpAtMs }, { inTimeUntilMs: inTimeMs, giveUpAtMs: giveUpMs });
});

When("{int} callers with {int} ms left are refused", function(this: DecisionScenario, count: number, remainingMs: number) {
    const random = new SeededRandom(3);
    this.retryDelaysMs = Array.from({ length: count }, () => decideRetryAfter({ remainingMs, earliestMs: 0 }, random));
});

Then("they are asked to retry after {int} ms to {int} ms, spread over this range", function(
    this: DecisionScenario,
    earliestMs: number,
    latestMs: number,
) {
    const times = this.retryDelaysMs.map(time => time ?? -1).sort((left, right) => left - right);
    assert(times.every(time => time >= earliestMs && time <= latestMs));
    const spanMs = latestMs - earliestMs;
    for (let quarter = 0; quarter < 4; quarter += 1) {
        const fromMs = earliestMs + quarter * spanMs / 4;
        const inQuarter = times.filter(time => time >= fromMs && time < fromMs + spanMs / 4).length;
        assert(inQuarter >= 10, `${inQuarter} of 100 retries fall into quarter ${quarter} of the range`);
    }
});

Then("they are not asked to retry", function(this: DecisionScenario) {
    assert(this.retryDelaysMs.every(time => time === undefined));
});

Given("these servers", function(this: DecisionScenario, table: DataTable) {
    this.clock = new VirtualClock();
    this.servers = new Map(
        table.hashes().map(row => {
            const server = makeServer(row["server"] ?? "", {
                failureDomain: row["domain"] ?? "",
                slots: Number(row["slots"]),
            });
            const profile = new ServerProfile(Number(row["ms per 1000 tokens"]) / 1_000, 20, 500);
            const state = new ServerState(server, profile, this.clock, () => Number(row["peers"]));
            for (let call = 0; call < Number(row["calls"]); call += 1) {
                state.startCall(10);
            }
            return [server.id, state];
        }),
    );
});

When("{int} calls at {string} fail", function(this: DecisionScenario, count: number, id: string) {
    const state = this.servers.get(id);
    for (let call = 0; call < count; call += 1) {
        state?.finishCall(state.startCall(10), AttemptOutcome.Bad);
    }
});

When("{int} ms pass", async function(this: DecisionScenario, durationMs: number) {
    await this.clock.advance(durationMs);
});

function chooseServerId(
    scenario: DecisionScenario,
    promptTokens: number,
    excludedServers: readonly string[],
): string | undefined {
    const call = {
        promptTokens,
        expectedEvents: 10,
        failureDomain: "here",
        excludedServers: new Set(excludedServers),
        cachedServer: undefined,
        remainingMs: 10_000,
    };
    return chooseServer([...scenario.servers.values()], call, { nodeCount: 6, next: () => 0.5 })?.state.server.id;
}

Then(/^a call of (\d+) tokens goes to "(\w+)"(?: or "(\w+)")?$/, function(
    this: DecisionScenario,
    tokens: string,
    id: string,
    other: string | undefined,
) {
    const chosen = chooseServerId(this, Number(tokens), []);
    assert(chosen === id || chosen === other, `it goes to ${chosen}`);
});

Then("a call of {int} tokens that was sent to {string} before goes to {string}", function(
    this: DecisionScenario,
    tokens: number,
    before: string,
    id: string,
) {
    assert.equal(chooseServerId(this, tokens, [before]), id);
});

Given(
    "{int} nodes that report to each other every {int} ms and a quota of {int} tokens a second with a burst of {int}",
    function(this: DecisionScenario, nodes: number, intervalMs: number, rate: number, burst: number) {
        startQuotaFleet(this, { nodes, isolatedNodes: 0, intervalMs, rate, burst });
    },
);

Given(
    "{int} nodes of which {int} are isolated from the others and a quota of {int} tokens a second with a burst of {int}",
    function(this: DecisionScenario, nodes: number, isolatedNodes: number, rate: number, burst: number) {
        startQuotaFleet(this, { nodes, isolatedNodes, intervalMs: 200, rate, burst });
    },
);

/** Settings of the nodes in a quota scenario. */
interface QuotaFleetSettings {
    readonly nodes: number;
    readonly isolatedNodes: number;
    readonly intervalMs: number;
    readonly rate: number;
    readonly burst: number;
}

function startQuotaFleet(
    scenario: DecisionScenario,
    { nodes, isolatedNodes, intervalMs, rate, burst }: QuotaFleetSettings,
): void {
    scenario.clock = new VirtualClock();
    scenario.isolatedNodes = isolatedNodes;
    scenario.reportIntervalMs = intervalMs;
    scenario.quota = { rate, burst };
    scenario.admitted = [];
    scenario.nodeQuotas = Array.from({ length: nodes }, (unused, index) => {
        const reachable = index < isolatedNodes ? isolatedNodes : nodes - isolatedNodes;
        return new WorkspaceQuota({ clock: scenario.clock, isFirstStart: true, unreachableShare: () => 1 - reachable / nodes });
    });
}

When(
    /^a workspace requests (\d+) tokens a second for (\d+) s, (evenly over the nodes|all at one node)$/,
    async function(this: DecisionScenario, rate: string, seconds: string, spread: string) {
        const workspace = {
            name: "w",
            rank: 0,
            tokensPerSecond: this.quota.rate,
            burstTokens: this.quota.burst,
            defaultCallTokens: 1,
        };
        const random = new SeededRandom(5);
        const startMs = this.clock.now();
        let tokensDue = 0;
        for (let step = 0; step * QUOTA_STEP_MS < Number(seconds) * 1_000; step += 1) {
            for (tokensDue += Number(rate) * QUOTA_STEP_MS / 1_000; tokensDue >= TOKENS_PER_CALL; tokensDue -= TOKENS_PER_CALL) {
                const node = this.nodeQuotas[spread === "all at one node" ? 0 : random.nextInt(this.nodeQuotas.length)];
                if (node?.consume(workspace, TOKENS_PER_CALL) === 0) {
                    this.admitted.push({ atMs: this.clock.now() - startMs, tokens: TOKENS_PER_CALL });
                }
            }
            for (const [index, node] of this.nodeQuotas.entries()) {
                if ((step + index * 3) % (this.reportIntervalMs / QUOTA_STEP_MS) !== 0) {
                    continue;
                }
                const total = [...node.ownTotals()][0]?.[1] ?? 0;
                for (const [otherIndex, other] of this.nodeQuotas.entries()) {
                    if (other !== node && index < this.isolatedNodes === otherIndex < this.isolatedNodes) {
                        other.recordPeerTotal(workspace, `node-${index}`, total);
                    }
                }
            }
            await this.clock.advance(QUOTA_STEP_MS);
        }
    },
);

Then("at most {int} tokens are admitted in any 8 s", function(this: DecisionScenario, max: number) {
    for (const { atMs: fromMs } of this.admitted) {
        let tokens = 0;
        for (const call of this.admitted) {
            tokens += call.atMs >= fromMs && call.atMs < fromMs + QUOTA_WINDOW_MS ? call.tokens : 0;
        }
        assert(tokens <= max, `${tokens} tokens were admitted in the window that starts at ${fromMs} ms`);
    }
});

Then("at least {int} tokens are admitted in total", function(this: DecisionScenario, min: number) {
    const tokens = this.admitted.reduce((sum, call) => sum + call.tokens, 0);
    assert(tokens >= min, `${tokens} tokens were admitted`);
});

Given("a catalog with the server {string}", function(this: DecisionScenario, id: string) {
    this.clock = new VirtualClock();
    this.serverRemovedAtMs = undefined;
    this.logHealth = new LogHealth(this.clock, { onLost: () => undefined, onRegained: () => undefined });
    this.catalog = new ServerCatalog(this.clock, this.logHealth, {
        onServerUpdated: () => undefined,
        onServerRemoved: () => {
            this.serverRemovedAtMs = this.clock.now();
        },
    });
    this.catalog.put(makeServer(id));
});

When("the entry of {string} is removed while the log is available", function(this: DecisionScenario, id: string) {
    this.entryRemovedAtMs = this.clock.now();
    this.catalog.recordRemoval(id);
});

When(
    /^the entry of "(\w+)" is removed during an outage of (the log|this node alone) and (does not return|returns 1\.9 s after)$/,
    async function(
        this: DecisionScenario,
        id: string,
        place: string,
        outcome: string,
    ) {
        const startMs = this.clock.now();
        this.logHealth.peerSteadyMs = () => place === "the log" ? 0 : 60_000 + this.clock.now() - startMs;
        this.logHealth.recordFailure("servers", new Error("refused"));
        await this.clock.advance(OUTAGE_DURATION_MS);
        this.logHealth.recordSuccess("servers");
        this.entryRemovedAtMs = this.clock.now();
        this.catalog.recordRemoval(id);
        for (let step = 0; step < 40; step += 1) {
            await this.clock.advance(100);
            if (outcome !== "does not return" && this.clock.now() - this.entryRemovedAtMs === 1_900) {
                this.catalog.put(makeServer(id, { sequence: 2 }));
            }
            this.catalog.expire();
        }
    },
);

When(
    "the entry of {string} is removed after an outage, while a peer has read the log for {int} ms and its last report is {int} ms old",
    async function(this: DecisionScenario, id: string, readMs: number, ageMs: number) {
        this.logHealth.recordFailure("servers", new Error("refused"));
        await this.clock.advance(OUTAGE_DURATION_MS);
        this.logHealth.recordSuccess("servers");
        this.entryRemovedAtMs = this.clock.now();
        const readSinceMs = this.entryRemovedAtMs - readMs;
        this.logHealth.peerSteadyMs = () => this.clock.now() - readSinceMs;
        this.logHealth.peerReadMs = () => this.clock.now() - readSinceMs - ageMs;
        this.catalog.recordRemoval(id);
        for (let step = 0; step < 40; step += 1) {
            await this.clock.advance(100);
            this.catalog.expire();
        }
    },
);

Then("the server is removed {int} ms later", function(this: DecisionScenario, laterMs: number) {
    assert.equal((this.serverRemovedAtMs ?? 0) - this.entryRemovedAtMs, laterMs);
});

Then("the server is removed at once", function(this: DecisionScenario) {
    assert.equal(this.serverRemovedAtMs, this.entryRemovedAtMs);
});

Then("the server is removed 2.2 s after the outage", function(this: DecisionScenario) {
    assert.equal((this.serverRemovedAtMs ?? 0) - this.entryRemovedAtMs, 2_200);
});

Then("the server is kept", function(this: DecisionScenario) {
    assert.equal(this.serverRemovedAtMs, undefined);
});

When("reports arrive with these start times and sequence numbers", function(this: DecisionScenario, table: DataTable) {
    for (const row of table.hashes()) {
        this.catalog.put(makeServer("s", {
            startedAtMs: Number(row["start"]),
            sequence: Number(row["sequence"]),
            isDraining: row["state"] === "draining",
        }));
    }
});

Then("the server {string} has start time {int} and is draining", function(this: DecisionScenario, id: string, start: number) {
    const server = [...this.catalog.list()].find(candidate => candidate.id === id);
    assert.equal(server?.startedAtMs, start);
    assert.equal(server.isDraining, true);
});

/** Complete events of a stream that breaks off within its next event. */
const COMPLETE_EVENTS = "id: 1\ndata: a\n\nweight-versions: 2\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

When("an event stream arrives in chunks of {int} bytes and breaks off within the last event", function(
    this: DecisionScenario,
    size: number,
) {
    const data = Buffer.from(`${COMPLETE_EVENTS}id: 4\ndata`);
    this.splitter = new EventStreamSplitter();
    const chunks: Buffer[] = [];
    this.forwardedCount = 0;
    for (let at = 0; at < data.length; at += size) {
        const { bytes, count } = this.splitter.push(data.subarray(at, at + size));
        chunks.push(Buffer.from(bytes));
        this.forwardedCount += count;
    }
    this.forwarded = Buffer.concat(chunks);
});

Then("{int} complete events are forwarded unchanged, and the last id is {string}", function(
    this: DecisionScenario,
    count: number,
    id: string,
) {
    assert.equal(this.forwardedCount, count);
    assert.equal(this.forwarded.toString(), COMPLETE_EVENTS);
    assert.equal(this.splitter.lastEventId, id);
    assert(this.splitter.hasPartialEvent);
});

/** Duration for which the evidence of a rollout is collected, in milliseconds. */
const ROLLOUT_DURATION_MS = 14_000;

/** Bounds of all rollouts under test. */
const ROLLOUT_BOUNDS = { maxShare: 0.1, slackCalls: 50 };

Given(
    "a rollout of {int} ms after {int} ms, with {int} of {int} calls bad at the new version and {int} of {int} at the current one",
    async function(
        this: DecisionScenario,
        durationMs: number,
        elapsedMs: number,
        bad: number,
        calls: number,
        badBefore: number,
        callsBefore: number,
    ) {
        const finding = await collectEvidence(elapsedMs, (evidence, step, steps) => {
            recordShare(evidence, true, { calls, bad, step, steps });
            recordShare(evidence, false, { calls: callsBefore, bad: badBefore, step, steps });
        });
        this.decision = decideRollout(finding, { elapsedMs, durationMs }, ROLLOUT_BOUNDS);
    },
);

Given(
    "a rollout of {int} ms after {int} ms, with {int} of {int} calls broken by one server of the new version " +
        "and {int} of {int} calls bad at the current one",
    async function(
        this: DecisionScenario,
        durationMs: number,
        elapsedMs: number,
        broken: number,
        calls: number,
        badBefore: number,
        callsBefore: number,
    ) {
        const finding = await collectEvidence(elapsedMs, (evidence, step, steps) => {
            recordShare(evidence, true, { calls: calls - broken, bad: 0, step, steps });
            recordShare(evidence, false, { calls: callsBefore, bad: badBefore, step, steps });
            for (let count = shareOf(broken, step, steps); count > 0; count -= 1) {
                evidence.recordBroken(true, 1);
            }
        });
        this.decision = decideRollout(finding, { elapsedMs, durationMs }, ROLLOUT_BOUNDS);
    },
);

/** Calls of one version that are spread evenly over a number of steps. */
interface SpreadCalls {
    readonly calls: number;
    readonly bad: number;
    readonly step: number;
    readonly steps: number;
}

/** Collects evidence in steps of a decision interval, and evaluates it after each. */
async function collectEvidence(
    elapsedMs: number,
    record: (evidence: RolloutEvidence, step: number, steps: number) => void,
): Promise<RolloutFinding> {
    const clock = new VirtualClock();
    const stepMs = 250;
    const evidence = new RolloutEvidence(ROLLOUT_DURATION_MS, clock);
    const steps = elapsedMs / stepMs;
    for (let step = 0; step < steps; step += 1) {
        record(evidence, step, steps);
        evidence.evaluate();
        await clock.advance(stepMs);
    }
    return evidence.evaluate();
}

function recordShare(evidence: RolloutEvidence, isTarget: boolean, { calls, bad, step, steps }: SpreadCalls): void {
    const badCount = shareOf(bad, step, steps);
    for (let count = 0; count < shareOf(calls, step, steps); count += 1) {
        evidence.recordSent(isTarget);
        evidence.recordAnswered(isTarget, count < badCount);
    }
}

/** @returns Part of a total that falls into one of several equal steps. */
function shareOf(total: number, step: number, steps: number): number {
    return Math.floor(total * (step + 1) / steps) - Math.floor(total * step / steps);
}

Then("its state is {string} and its share {float}", function(this: DecisionScenario, state: string, share: number) {
    assert.equal(this.decision.state, state);
    assert(Math.abs(this.decision.share - share) < 1e-9, `its share is ${this.decision.share}`);
});

When(
    "versions that turn bad after each tenth of a rollout are rolled out at 130 calls a second",
    async function(this: DecisionScenario) {
        const durationMs = 12_000;
        const stepMs = 250;
        this.rolloutCalls = [];
        for (let tenth = 0; tenth <= 10; tenth += 1) {
            const calls = { target: 0, present: 0 };
            let share = 0;
            await collectEvidence(durationMs, (evidence, step) => {
                const elapsedMs = step * stepMs;
                share = decideRollout(evidence.evaluate(), { elapsedMs, durationMs }, ROLLOUT_BOUNDS).share;
                const target = Math.round(130 * stepMs / 1_000 * share);
                const present = Math.round(130 * stepMs / 1_000) - target;
                const isBad = elapsedMs >= durationMs * tenth / 10;
                recordShare(evidence, true, { calls: target, bad: isBad ? target / 2 : 0, step: 0, steps: 1 });
                recordShare(evidence, false, { calls: present, bad: 0, step: 0, steps: 1 });
                calls.target += target;
                calls.present += present;
            });
            const { target, present } = calls;
            this.rolloutCalls.push({ target, all: target + present });
        }
    },
);

Then("none of them gets more than a tenth of the calls plus 50", function(this: DecisionScenario) {
    for (const { target, all } of this.rolloutCalls) {
        assert(target <= all * ROLLOUT_BOUNDS.maxShare + ROLLOUT_BOUNDS.slackCalls, `${target} of ${all} calls`);
    }
});

Given(
    "{int} servers of {int} slots that hold {int} calls of {int} ms",
    function(this: DecisionScenario, servers: number, slots: number, taken: number, callMs: number) {
        this.capacities = Array.from({ length: servers }, () => ({ slots, calls: taken / servers, callMs }));
    },
);

Given("all of them accept {int} calls a second and {int} calls now", function(
    this: DecisionScenario,
    callsPerSecond: number,
    availableCalls: number,
) {
    this.capacities = this.capacities.map(capacity => ({ ...capacity, allowance: { callsPerSecond, availableCalls } }));
});

When(
    "this node has {int} and the other nodes {int} calls in time, and {int} and {int} arrive each second",
    function(this: DecisionScenario, own: number, others: number, ownRate: number, otherRate: number) {
        this.gate = new AdmissionGate(new SeededRandom(1), () => REPORT_INTERVAL_MS);
        this.gate.allot(
            0,
            { inTimeCalls: own, lateCalls: 0, arrivalsPerSecond: ownRate },
            { inTimeCalls: others, lateCalls: 0, arrivalsPerSecond: otherRate },
            this.capacities,
        );
    },
);

Then(/^this node may take (any|\d+)(?: (?:or|to) (\d+))? slots until the next report$/, function(
    this: DecisionScenario,
    min: string,
    max: string | undefined,
) {
    let taken = 0;
    while (taken < UNLIMITED_ADMISSIONS && this.gate.mayAdmit(false)) {
        this.gate.recordAdmitted(false);
        taken += 1;
    }
    if (min === "any") {
        assert.equal(taken, UNLIMITED_ADMISSIONS);
        return;
    }
    assert(taken >= Number(min) && taken <= Number(max ?? min), `${taken} slots`);
});

When("a call of {int} ms is measured at a service whose calls were estimated to last {int} ms", function(
    this: DecisionScenario,
    measuredMs: number,
    estimateMs: number,
) {
    this.profile = new ServerProfile(0.01, 25, estimateMs);
    this.profile.observeCallTime(measuredMs);
});

Then("calls are expected to last {int} ms from then on", function(this: DecisionScenario, callMs: number) {
    assert.equal(this.profile.callMs, callMs);
});

Given("one server whose 100 slots are taken", function(this: DecisionScenario) {
    this.clock = new VirtualClock();
    const profile = new ServerProfile(0.01, 25, 500);
    const state = new ServerState(makeServer("only", { slots: 100 }), profile, this.clock, () => 100);
    this.scheduler = new ServiceScheduler({
        service: "s",
        failureDomain: "here",
        clock: this.clock,
        random: new SeededRandom(1),
        candidates: () => [state],
        mainServers: () => [state],
        peerDemand: () => ({ inTimeCalls: this.peerInTimeCalls, lateCalls: 0, arrivalsPerSecond: 0 }),
        reportIntervalMs: () => REPORT_INTERVAL_MS,
        isOutOfReach: () => false,
        nodeCount: () => 6,
    });
});

Given("other nodes with {int} calls in time", function(this: DecisionScenario, count: number) {
    this.peerInTimeCalls = count;
});

When(
    /^a call with an objective of (\d+) ms and a deadline of (\d+) ms waits for a slot, for the (first|second) time$/,
    async function(this: DecisionScenario, objective: string, deadline: string, attempt: string) {
        const route = makeRoute("/", Number(objective));
        const arrivedAtMs = this.clock.now();
        const deadlineMs = Number(deadline) * (attempt === "first" ? 1 : 0.7);
        this.refusedAfterMs = undefined;
        this.scheduler.reserveSlot({
            id: "call",
            route,
            workspaceRank: 0,
            arrivedAtMs,
            deadlineAtMs: arrivedAtMs + deadlineMs,
            waitLimits: decideWaitLimits(route, { arrivedAtMs, deadlineMs, firstAttemptDeadlineMs: Number(deadline) }),
            promptTokens: 100,
            expectedEvents: 10,
            promptPartId: undefined,
            mayLeave: () => false,
            excludedServers: new Set(),
            signal: new AbortController().signal,
            isTooLateForStop: () => false,
        }).then(
            () => assert.fail("the call got a slot"),
            () => {
                this.refusedAfterMs = this.clock.now() - arrivedAtMs;
            },
        );
        for (let waitedMs = 0; waitedMs < MAX_WAIT_MS; waitedMs += DISPATCH_INTERVAL_MS) {
            await this.clock.advance(DISPATCH_INTERVAL_MS);
            this.scheduler.dispatchWaiting();
            await Promise.resolve();
        }
    },
);

Then("it is refused after {int} ms", function(this: DecisionScenario, refusedAfterMs: number) {
    assert.equal(this.refusedAfterMs, refusedAfterMs);
});
