/**
 * Steps about the reports that relay nodes send each other, with in-memory links under a virtual clock.
 *
 * @module
 */

import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setMaxListeners } from "node:events";
import { sumDemands } from "../../src/coordination/allotment/mod.js";
import {
    BrittleServers,
    CallQuarantine,
    NodeDirectory,
    PeerReporter,
    PeerTable,
    ServerLimits,
    ServerPool,
    ServerStatements,
    TopicViews,
    WorkspaceQuota,
} from "../../src/coordination/relay/mod.js";
import {
    hashKey,
    type KeyedLog,
    type KeyedPage,
    type KeyedRecord,
    PeerLink,
    PeerReport,
    type ReportReceiver,
} from "../../src/protocol/relay/mod.js";
import { type RelayServer, type RelayWorkspace, SeededRandom } from "../../src/state/relay/mod.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import type { Scenario } from "../support/world.js";

/** Number of servers at which the nodes have calls. */
const SERVER_COUNT = 5;

/** Maximum calls of one node at one server. */
const MAX_CALLS_PER_SERVER = 4;

/** One-way delay of a datagram, in milliseconds. */
const DATAGRAM_DELAY_MS = 2;

/** Probability that a datagram is lost. */
const DATAGRAM_LOSS_PROBABILITY = 0.01;

/** Time for which stopped aggregators are down before they restart, in milliseconds. */
const DOWNTIME_MS = 3_000;

/** Sliding window over which a quota is checked, in milliseconds. */
const QUOTA_WINDOW_MS = 8_000;

/** Interval at which calls of the quota scenarios arrive at each node, in milliseconds. */
const QUOTA_STEP_MS = 50;

/** One node with the state that its reports carry and update. */
interface ReportingNode {
    readonly name: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly peers: PeerTable;
    readonly pool: ServerPool;
    readonly quota: WorkspaceQuota;
    readonly reporter: PeerReporter;
    /** Functions that finish the node's calls in flight. */
    readonly callFinishers: (() => void)[];
    isStopped: boolean;
    sentReports: number;
}

/** State of a scenario of this file. */
interface ReportScenario extends Scenario {
    clock: VirtualClock;
    reportingNodes: ReportingNode[];
    reportsAbort: AbortController;
    isolatedDomain: string | undefined;
    fleetRandom: SeededRandom;
    measurementMs: number;
    fleetWorkspace: RelayWorkspace;
    admitted: { readonly atMs: number; readonly tokens: number }[];
}

/** In-memory log that holds the nodes' addresses. */
class InMemoryAddressLog implements Pick<KeyedLog, "readNewest" | "append"> {
    private readonly records: KeyedRecord[] = [];

    readNewest(): Promise<KeyedPage> {
        return Promise.resolve({ records: this.records, endOffset: this.records.length, era: 0 });
    }

    append(topic: string, key: string, value: Uint8Array): Promise<number> {
        assert.equal(topic, "keyed.nodes");
        this.records.push({ key, value, offset: this.records.length });
        return Promise.resolve(0);
    }
}

/** Delivers reports between the nodes of a scenario, with delay, loss and partitions. */
class InMemoryPeerLink extends PeerLink {
    constructor(private readonly scenario: ReportScenario, private readonly sender: () => ReportingNode) {
        super();
    }

    override send(report: PeerReport, receivers: Iterable<ReportReceiver>): void {
        const { clock, reportingNodes, fleetRandom } = this.scenario;
        const sender = this.sender();
        for (const { address, ownPart } of receivers) {
            const receiver = reportingNodes.find(node => node.address === address);
            sender.sentReports += 1;
            if (receiver === undefined || fleetRandom.next() < DATAGRAM_LOSS_PROBABILITY) {
                continue;
            }
            const bytes = PeerReport.encode({ ...report, ownPart }).finish();
            void clock.sleep(DATAGRAM_DELAY_MS).then(() => {
                if (!receiver.isStopped && !sender.isStopped && this.isReachable(sender, receiver)) {
                    receiver.reporter.receive(PeerReport.decode(bytes));
                }
            });
        }
    }

    private isReachable(sender: ReportingNode, receiver: ReportingNode): boolean {
        const { isolatedDomain } = this.scenario;
        return sender.failureDomain === isolatedDomain === (receiver.failureDomain === isolatedDomain);
    }
}

function makeServer(index: number): RelayServer {
    return {
        id: `server-${index}`,
        service: "s",
        address: `127.0.0.1:${index}`,
        failureDomain: "domain-0",
        version: "v1",
        slots: 10_000,
        isDraining: false,
        startedAtMs: 1,
        sequence: 1,
        warmUpMs: 0,
    };
}

function startNode(scenario: ReportScenario, index: number, log: KeyedLog): ReportingNode {
    const { clock } = scenario;
    const peers = new PeerTable(clock);
    const pool = new ServerPool(clock, peers);
    for (let server = 0; server < SERVER_COUNT; server += 1) {
        pool.put(makeServer(server));
    }
    const quota = new WorkspaceQuota({ clock, isFirstStart: true, unreachableShare: () => peers.unreachableShare() });
    const name = `node-${index}`;
    const address = `127.0.0.1:${10_000 + index}`;
    const failureDomain = `domain-${index % 4}`;
    const cores = index < 8 ? 1.35 : 0.324;
    const directory = new NodeDirectory({
        log,
        clock,
        random: scenario.fleetRandom,
        node: name,
        failureDomain,
        cores,
        address: () => address,
        onError: text => assert.fail(text),
        onRewrite: topic => assert.fail(topic),
    });
    const reporter: PeerReporter = new PeerReporter({
        views: new TopicViews(clock, name, () => 0),
        node: name,
        failureDomain,
        cores,
        startedAtMs: clock.now(),
        clock,
        link: new InMemoryPeerLink(scenario, () => node),
        directory,
        peers,
        pool,
        quota,
        quarantine: new CallQuarantine({
            clock,
            random: scenario.fleetRandom,
            serverCount: () => SERVER_COUNT,
            nodeCount: () => 1,
            onChange: text => assert.fail(text),
        }),
        statements: new ServerStatements({
            clock,
            random: scenario.fleetRandom,
            brittle: new BrittleServers({
                clock,
                random: scenario.fleetRandom,
                reportIntervalMs: () => reporter.intervalMs,
                nodeCount: () => 1,
                demands: () => ({ own: sumDemands([]), peers: sumDemands([]) }),
                onChange: text => assert.fail(text),
            }),
            limits: new ServerLimits({
                clock,
                random: scenario.fleetRandom,
                reportIntervalMs: () => reporter.intervalMs,
                nodeCount: () => 1,
                unreachableShare: () => peers.unreachableShare(),
                demands: () => ({ own: sumDemands([]), peers: sumDemands([]) }),
                onChange: text => assert.fail(text),
            }),
            onChange: text => assert.fail(text),
        }),
        address: () => address,
        workspaces: () => [scenario.fleetWorkspace],
        lostServices: () => [],
        versionCounts: () => [],
        demands: () => [],
        isDraining: () => false,
        logSteadyMs: () => 1_000,
        onChange: () => undefined,
        onPeerSeen: () => undefined,
        onPeerGone: () => undefined,
    });
    const node: ReportingNode = {
        name,
        address,
        failureDomain,
        peers,
        pool,
        quota,
        reporter,
        callFinishers: [],
        isStopped: false,
        sentReports: 0,
    };
    void clock.sleep(scenario.fleetRandom.next() * 300)
        .then(() => directory.join(scenario.reportsAbort.signal))
        .then(() => Promise.all([directory.run(scenario.reportsAbort.signal), reporter.run(scenario.reportsAbort.signal)]));
    return node;
}

/** Finishes the calls of each node and starts a random number of others at each server. */
function replaceCalls(scenario: ReportScenario): void {
    for (const node of scenario.reportingNodes) {
        for (const finish of node.callFinishers.splice(0)) {
            finish();
        }
        for (const state of node.pool.all()) {
            const count = Math.floor(scenario.fleetRandom.next() * (MAX_CALLS_PER_SERVER + 1));
            for (let index = 0; index < count; index += 1) {
                const call = state.startCall(0);
                node.callFinishers.push(() => state.finishCall(call, "neutral" as Parameters<typeof state.finishCall>[1]));
            }
        }
    }
}

function assertPeerCallCounts(scenario: ReportScenario, isCounted: (node: ReportingNode, other: ReportingNode) => boolean): void {
    for (const node of scenario.reportingNodes) {
        for (const state of node.pool.all()) {
            let expected = 0;
            for (const other of scenario.reportingNodes) {
                const calls = other.pool.find(state.server.id)?.ownCalls ?? 0;
                expected += other !== node && isCounted(node, other) ? calls : 0;
            }
            const counted = node.peers.callsAt(hashKey(state.server.id));
            assert.equal(counted, expected, `${node.name} counts at ${state.server.id}`);
        }
    }
}

Given("{int} relay nodes in 4 failure domains that report to each other", function(this: ReportScenario, count: number) {
    this.clock = new VirtualClock();
    this.reportsAbort = new AbortController();
    setMaxListeners(0, this.reportsAbort.signal);
    this.isolatedDomain = undefined;
    this.fleetRandom = new SeededRandom(count);
    this.fleetWorkspace = {
        name: "w",
        rank: 0,
        tokensPerSecond: undefined,
        burstTokens: 0,
        defaultCallTokens: 0,
    };
    this.admitted = [];
    const log = new InMemoryAddressLog() as unknown as KeyedLog;
    this.reportingNodes = [];
    for (let index = 0; index < count; index += 1) {
        this.reportingNodes.push(startNode(this, index, log));
    }
});

Given("a quota of {int} tokens a second with a burst of {int}", function(this: ReportScenario, rate: number, burst: number) {
    this.fleetWorkspace = { ...this.fleetWorkspace, tokensPerSecond: rate, burstTokens: burst };
});

When(/^each node has (?:other )?calls at every server for (\d+) (m?s)$/, async function(
    this: ReportScenario,
    duration: string,
    unit: string,
) {
    replaceCalls(this);
    for (const node of this.reportingNodes) {
        node.sentReports = 0;
    }
    this.measurementMs = Number(duration) * (unit === "s" ? 1_000 : 1);
    await this.clock.advance(this.measurementMs);
});

When(/^the aggregators stop( and restart later)?$/, async function(this: ReportScenario, restart?: string) {
    // The nodes with the most cores are selected as aggregators first.
    const strongestNodes = this.reportingNodes.slice(0, 8);
    for (const node of strongestNodes) {
        node.isStopped = true;
    }
    if (restart !== undefined) {
        await this.clock.advance(DOWNTIME_MS);
        for (const node of strongestNodes) {
            node.isStopped = false;
        }
        await this.clock.advance(DOWNTIME_MS * 20);
        return;
    }
    for (const node of strongestNodes) {
        for (const finish of node.callFinishers.splice(0)) {
            finish();
        }
    }
    this.reportingNodes.splice(0, strongestNodes.length);
});

When("one failure domain is isolated for {int} s", async function(this: ReportScenario, seconds: number) {
    this.isolatedDomain = "domain-1";
    replaceCalls(this);
    await this.clock.advance(seconds * 1_000);
});

When("the partition heals and {int} s pass", async function(this: ReportScenario, seconds: number) {
    this.isolatedDomain = undefined;
    await this.clock.advance(seconds * 1_000);
});

When("a workspace requests {int} tokens a second at all nodes for {int} s", async function(
    this: ReportScenario,
    requested: number,
    seconds: number,
) {
    await this.clock.advance(2_000);
    const tokens = requested * QUOTA_STEP_MS / 1_000 / this.reportingNodes.length;
    for (let elapsedMs = 0; elapsedMs < seconds * 1_000; elapsedMs += QUOTA_STEP_MS) {
        for (const node of this.reportingNodes) {
            if (node.quota.consume(this.fleetWorkspace, tokens) === 0) {
                this.admitted.push({ atMs: this.clock.now(), tokens });
            }
        }
        await this.clock.advance(QUOTA_STEP_MS);
    }
});

Then("each node counts the calls of all others", function(this: ReportScenario) {
    assertPeerCallCounts(this, () => true);
});

Then("each node counts the calls of all others that it can reach", function(this: ReportScenario) {
    assertPeerCallCounts(
        this,
        (node, other) => node.failureDomain === this.isolatedDomain === (other.failureDomain === this.isolatedDomain),
    );
});

Then("no node sends more than {int} reports a second, and all nodes together no more than {int}", function(
    this: ReportScenario,
    maxPerNode: number,
    maxTotal: number,
) {
    const seconds = this.measurementMs / 1_000;
    let total = 0;
    for (const node of this.reportingNodes) {
        assert(node.sentReports <= maxPerNode * seconds, `${node.name} sent ${node.sentReports / seconds} reports a second`);
        total += node.sentReports;
    }
    assert(total <= maxTotal * seconds, `all nodes sent ${total / seconds} reports a second`);
});

Then("at most {int} tokens are admitted at all nodes in any 8 s", function(this: ReportScenario, max: number) {
    let fromIndex = 0;
    let sum = 0;
    for (const { atMs, tokens } of this.admitted) {
        sum += tokens;
        while ((this.admitted[fromIndex]?.atMs ?? atMs) <= atMs - QUOTA_WINDOW_MS) {
            sum -= this.admitted[fromIndex]?.tokens ?? 0;
            fromIndex += 1;
        }
        assert(sum <= max, `${sum} tokens were admitted in the 8 s up to ${atMs} ms`);
    }
});

Then("at least {int} tokens are admitted at all nodes", function(this: ReportScenario, min: number) {
    const sum = this.admitted.reduce((total, { tokens }) => total + tokens, 0);
    assert(sum >= min, `${sum} tokens were admitted`);
});

After(function(this: ReportScenario) {
    this.reportsAbort?.abort();
});
