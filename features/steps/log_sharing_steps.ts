/**
 * Steps about nodes that read the platform's log for others, under a virtual clock.
 *
 * @module
 */

import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { RelayMetrics } from "../../src/daemon/relay/mod.js";
import { KeyedLogModel } from "../../standin/keyed_log_model.js";
import { VirtualClock } from "../../standin/virtual_clock.js";
import { FollowingNode, makeServerEntry } from "../support/following_node.js";
import { LinkState, LogLink } from "../support/log_link.js";
import { makeConfiguration } from "../support/relay_fixture.js";
import type { Scenario } from "../support/world.js";

/** Time between two reports of a node, and time that a report takes, in milliseconds. */
const REPORT_INTERVAL_MS = 200;
const REPORT_DELAY_MS = 20;

/** Time in which the nodes start, one after the other, in milliseconds. */
const START_MS = 300;

/** Time after the start from which changes are written, and distance between the moments, in milliseconds. */
const SETTLED_MS = 6_000;
const MOMENT_INTERVAL_MS = 37;

/** Warm-up of a server that becomes warm before its time, in milliseconds. */
const WARM_UP_MS = 60_000;

/** Time after which a change counts as never acted on, in milliseconds. */
const GIVE_UP_MS = 10_000;

/** Node with its link to the log. */
interface SharingNode {
    readonly node: FollowingNode;
    readonly link: LogLink;
    /** Whether its reports reach the others, and theirs reach it. */
    isConnected: boolean;
    isStopped: boolean;
}

/** Nodes that follow one log. */
class SharingFleet {
    readonly clock = new VirtualClock();
    readonly log = new KeyedLogModel(this.clock);
    readonly nodes: SharingNode[] = [];
    private readonly stopped = new AbortController();

    constructor(nodeCount: number) {
        for (let name = 1; name <= nodeCount; name += 1) {
            const link = new LogLink(this.log, this.clock);
            const node = new FollowingNode(link, this.clock, name, nodeCount - 1);
            this.nodes.push({ node, link, isConnected: true, isStopped: false });
        }
    }

    get reads(): number {
        return this.nodes.reduce((sum, { link }) => sum + link.reads, 0);
    }

    async start(): Promise<void> {
        this.log.put("keyed.op", "config", makeConfiguration(1, ["key"]));
        this.log.put("keyed.servers", "s", makeServerEntry("ready", 1));
        for (const node of this.nodes) {
            node.node.start();
            void this.report(node);
            await this.clock.advance(START_MS / this.nodes.length);
        }
    }

    async stop(): Promise<void> {
        this.stopped.abort();
        for (const sharing of this.nodes) {
            await this.kill(sharing);
        }
    }

    async kill(sharing: SharingNode): Promise<void> {
        if (!sharing.isStopped) {
            sharing.isStopped = true;
            sharing.isConnected = false;
            await sharing.node.stop();
        }
    }

    /** Node that reads for the others. */
    reader(): SharingNode {
        const reader = this.nodes.find(({ node }) => node.views.reported().length > 0);
        assert(reader !== undefined, "no node reads for the others");
        return reader;
    }

    private async report(sender: SharingNode): Promise<void> {
        while (await this.clock.sleep(REPORT_INTERVAL_MS, this.stopped.signal)) {
            const views = sender.node.views.reported();
            if (!sender.isConnected || views.length === 0) {
                continue;
            }
            void this.clock.sleep(REPORT_DELAY_MS).then(() => {
                for (const receiver of this.nodes) {
                    if (receiver !== sender && receiver.isConnected && sender.isConnected) {
                        receiver.node.views.merge(views);
                    }
                }
            });
        }
    }
}

/** What befalls the node that reads for the others. */
const readerFaults = new Map<string, (fleet: SharingFleet, reader: SharingNode) => Promise<unknown> | void>([
    ["goes on", () => undefined],
    ["is killed", (fleet, reader) => fleet.kill(reader)],
    ["freezes", (fleet, reader) => {
        reader.isConnected = false;
        reader.link.state = LinkState.Silent;
    }],
    ["is cut off from the log", (fleet, reader) => {
        reader.link.state = LinkState.Silent;
    }],
    ["is refused by the log", (fleet, reader) => {
        reader.link.state = LinkState.Refused;
    }],
    ["is cut off from the others", (fleet, reader) => {
        reader.isConnected = false;
    }],
    ["loses its next answer", fleet => fleet.log.loseNextAnswers()],
]);

/** State of a scenario of this file. */
interface SharingScenario extends Scenario {
    nodeCount: number;
    sharingFleet: SharingFleet;
    readsMeanwhile: number;
    /** Longest time until a node acted on a change, for each moment, in milliseconds. */
    slowestMs: number[];
}

Given("{int} nodes that follow a platform's log for others", function(this: SharingScenario, nodeCount: number) {
    this.nodeCount = nodeCount;
});

When(
    /^they follow it for (\d+) s while (\d+) servers write a heartbeat each (\d+) ms( and count their warm-up down)?$/,
    { timeout: 120_000 },
    async function(this: SharingScenario, secondsText: string, serversText: string, heartbeatText: string, countdown?: string) {
        const [seconds, serverCount, heartbeatMs] = [secondsText, serversText, heartbeatText].map(Number) as [
            number,
            number,
            number,
        ];
        // Cucumber passes no text of a part that is missing.
        const warmUpMs = countdown ? seconds * 1_000 : 0;
        this.sharingFleet = new SharingFleet(this.nodeCount);
        await this.sharingFleet.start();
        const stepMs = heartbeatMs / serverCount;
        for (let beat = 0; beat * stepMs < seconds * 1_000; beat += 1) {
            const sequence = Math.floor(beat / serverCount) + 1;
            this.sharingFleet.log.put(
                "keyed.servers",
                `server-${beat % serverCount}`,
                makeServerEntry("ready", sequence, warmUpMs - beat * stepMs),
            );
            await this.sharingFleet.clock.advance(stepMs);
        }
        this.readsMeanwhile = this.sharingFleet.reads;
        await this.sharingFleet.stop();
    },
);

Then("they have read it at most {int} times", function(this: SharingScenario, most: number) {
    assert(this.readsMeanwhile <= most, `${this.readsMeanwhile} reads`);
});

Then(
    "one node shows that it reads {string}, and one that it reads {string}",
    async function(this: SharingScenario, first: string, second: string) {
        const texts = await Promise.all(this.sharingFleet.nodes.map(({ node }) => readMetrics(node)));
        for (const topic of [first, second]) {
            const readers = texts.filter(text => text.includes(`foxtailrail_relay_topic_reader{topic="${topic}"} 1`));
            assert.equal(readers.length, 1, `${readers.length} nodes read ${topic}`);
        }
    },
);

function readMetrics({ views }: FollowingNode): Promise<string> {
    const metrics = new RelayMetrics({
        waitingCalls: () => [],
        sentCalls: () => [],
        openServers: () => [],
        limitedServers: () => [],
        emptiedDomains: () => 0,
        coldServers: () => [],
        peers: () => 0,
        lostServices: () => 0,
        detouredCalls: () => 0,
        takenCalls: () => 0,
        heldBytes: () => 0,
        evictions: () => 0,
        repeatedIds: () => 0,
        quarantinedTraits: () => 0,
        configurationVersion: () => 0,
        isLogAnswering: () => true,
        readTopics: () => views.readTopics,
        connections: () => [],
        droppedLines: () => 0,
    });
    return metrics.text();
}

When(
    /^an? (configuration|leaving|turn to cold|early warm-up) is written at each of (\d+) moments, and the node that reads for others (.*)$/,
    { timeout: 120_000 },
    async function(this: SharingScenario, change: string, moments: string, fault: string) {
        const applyFault = readerFaults.get(fault);
        assert(applyFault !== undefined, `unknown fault "${fault}"`);
        const isConfiguration = change === "configuration";
        const changedColdMs = change === "turn to cold" ? 2_500 : 0;
        this.slowestMs = [];
        for (let moment = 0; moment < Number(moments); moment += 1) {
            const fleet = new SharingFleet(this.nodeCount);
            await fleet.start();
            if (change === "early warm-up") {
                fleet.log.put("keyed.servers", "s", makeServerEntry("ready", 2, WARM_UP_MS));
            }
            await fleet.clock.advance(SETTLED_MS + moment * MOMENT_INTERVAL_MS);
            await applyFault(fleet, fleet.reader());
            if (isConfiguration) {
                fleet.log.put("keyed.op", "config", makeConfiguration(2, ["key"]));
            }
            else {
                fleet.log.put(
                    "keyed.servers",
                    "s",
                    makeServerEntry(change === "leaving" ? "draining" : "ready", 3, changedColdMs),
                );
            }
            const waiting = fleet.nodes.filter(({ link, isStopped }) => link.state === LinkState.Open && !isStopped);
            const isApplied = ({ node }: SharingNode) =>
                isConfiguration ?
                    node.follower.configuration?.version === 2 :
                    change === "leaving" ?
                    node.serverState("s") === "draining" :
                    node.coldMs("s") === changedColdMs;
            const startMs = fleet.clock.now();
            while (!waiting.every(isApplied) && fleet.clock.now() - startMs < GIVE_UP_MS) {
                await fleet.clock.advance(5);
            }
            this.slowestMs.push(fleet.clock.now() - startMs);
            await fleet.stop();
        }
    },
);

Then("each node that reaches the log acts on it within {int} ms", function(this: SharingScenario, limitMs: number) {
    assert(Math.max(...this.slowestMs) <= limitMs, `it took up to ${Math.max(...this.slowestMs)} ms`);
});

When(
    "the last node is refused by the log for {int} s",
    { timeout: 60_000 },
    async function(this: SharingScenario, seconds: number) {
        this.sharingFleet = new SharingFleet(this.nodeCount);
        await this.sharingFleet.start();
        await this.sharingFleet.clock.advance(SETTLED_MS);
        const { link } = this.sharingFleet.nodes.at(-1) as SharingNode;
        link.state = LinkState.Refused;
        const before = link.reads;
        await this.sharingFleet.clock.advance(seconds * 1_000);
        this.readsMeanwhile = link.reads - before;
        await this.sharingFleet.stop();
    },
);

Then(
    "it has kept its configuration and servers, and has read the log at most {int} times meanwhile",
    function(this: SharingScenario, most: number) {
        const { node } = this.sharingFleet.nodes.at(-1) as SharingNode;
        assert.equal(node.follower.configuration?.version, 1);
        assert.equal(node.serverState("s"), "ready");
        assert(this.readsMeanwhile <= most, `${this.readsMeanwhile} reads`);
    },
);
