/**
 * Prometheus metrics of a relay node.
 *
 * @module
 */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { WorkspaceShares } from "../../coordination/allotment/mod.js";
import type { CallRecord, TopicRead } from "../../coordination/relay/mod.js";
import type { LocalAnswer } from "../../protocol/relay/mod.js";
import type { ConnectionBound, CutCall } from "../../transport/relay/mod.js";

/** Bucket bounds of the latency histograms, in seconds: from the duration of a call that is not a stream to that of the longest stream. */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.3, 2, 5, 15];

/** Bucket bounds of the delays of the event loop, in seconds: from a step that is too long to a node that is out of service. */
const HOLD_UP_BUCKETS_S = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Sources of the gauges, read whenever the metrics are collected. */
export interface RelayGauges {
    /** Number of calls waiting for a slot, by service. */
    readonly waitingCalls: () => Iterable<readonly [string, number]>;
    /** Number of this node's calls in flight at backend servers, by service. */
    readonly sentCalls: () => Iterable<readonly [string, number]>;
    /** Number of backend servers that accept calls, by service. */
    readonly openServers: () => Iterable<readonly [string, number]>;
    /** Number of backend servers that state a limit on the calls of all nodes, by service. */
    readonly limitedServers: () => Iterable<readonly [string, number]>;
    /** Number of failure domains to whose servers nothing is sent, by order of the operator. */
    readonly emptiedDomains: () => number;
    /** Shares of the workspaces, by service; `undefined` where they are off. */
    readonly workspaceShares?: (() => ReadonlyMap<string, WorkspaceShares>) | undefined;
    /** Number of backend servers that bear few calls because they are cold, or may be, by service. */
    readonly coldServers: () => Iterable<readonly [string, number]>;
    readonly peers: () => number;
    /** Number of services of which no backend server is reached. */
    readonly lostServices: () => number;
    /** Numbers of calls that peers have taken from this node, and that this node has taken from peers. */
    readonly detouredCalls: () => number;
    readonly takenCalls: () => number;
    /** Number of prompt parts and contents of calls that are kept from the servers. */
    readonly quarantinedTraits: () => number;
    /** Bytes of others that are held until they are complete or written, and how often their largest holder was evicted. */
    readonly heldBytes: () => number;
    readonly evictions: () => number;
    /** Bounds on the connections of each port, by its use. */
    readonly connections: () => Iterable<readonly [string, ConnectionBound]>;
    /** Calls that were sent to an address at which their id had been answered before. */
    readonly repeatedIds: () => number;
    readonly configurationVersion: () => number;
    readonly isLogAnswering: () => boolean;
    /** Topics of the platform's log that this node reads for others. */
    readonly readTopics: () => Iterable<string>;
    /** Number of log lines dropped since the start. */
    readonly droppedLines: () => number;
}

/** Collects the metrics of one node. */
export class RelayMetrics {
    private readonly registry = new Registry();
    private readonly calls: Counter<"service" | "rank" | "outcome" | "status">;
    private readonly cuts: Counter<"cause" | "part">;
    private readonly localAnswers: Counter<"place" | "status">;
    private readonly idleCloses: Counter;
    private readonly stages: Histogram<"service" | "rank" | "stage">;
    private readonly reads: Histogram<"topic" | "outcome">;
    private readonly restores: Counter;
    private readonly rewrites: Counter<"topic">;
    private readonly holdUps: Histogram;

    /** @param gauges See {@linkcode RelayGauges}. */
    constructor(gauges: RelayGauges) {
        const registers = [this.registry];
        this.calls = new Counter({
            name: "foxtailrail_relay_calls_total",
            help: "Calls that ended, by how.",
            labelNames: ["service", "rank", "outcome", "status"],
            registers,
        });
        this.cuts = new Counter({
            name: "foxtailrail_relay_cut_calls_total",
            help: "Calls whose connection this node closed before their answer was complete, by why and whether it had begun.",
            labelNames: ["cause", "part"],
            registers,
        });
        this.localAnswers = new Counter({
            name: "foxtailrail_relay_local_answers_total",
            help: "Answers of the node itself to callers and other nodes, by the part of the node that decided on them.",
            labelNames: ["place", "status"],
            registers,
        });
        this.idleCloses = new Counter({
            name: "foxtailrail_relay_idle_closes_total",
            help: "Connections of callers that this node closed because they were idle for too long.",
            registers,
        });
        this.stages = new Histogram({
            name: "foxtailrail_relay_stage_seconds",
            help: "Time from the arrival of a call to the end of a stage.",
            labelNames: ["service", "rank", "stage"],
            buckets: LATENCY_BUCKETS_S,
            registers,
        });
        this.reads = new Histogram({
            name: "foxtailrail_relay_log_read_seconds",
            help: "Time from sending a read of the platform's log to its answer or failure.",
            labelNames: ["topic", "outcome"],
            buckets: LATENCY_BUCKETS_S,
            registers,
        });
        this.restores = new Counter({
            name: "foxtailrail_relay_log_restores_total",
            help: "Times that the platform's log was restored from an older copy.",
            registers,
        });
        this.rewrites = new Counter({
            name: "foxtailrail_relay_log_rewrites_total",
            help: "Records that were missing after a restore of the platform's log and were written again.",
            labelNames: ["topic"],
            registers,
        });
        this.holdUps = new Histogram({
            name: "foxtailrail_relay_hold_up_seconds",
            help: "Time by which timers fired late because the event loop was held up.",
            buckets: HOLD_UP_BUCKETS_S,
            registers,
        });
        this.addServiceGauge("waiting_calls", "Calls that wait for a place.", gauges.waitingCalls);
        this.addServiceGauge("sent_calls", "Calls of this node at backend servers.", gauges.sentCalls);
        this.addServiceGauge("open_servers", "Backend servers that take calls.", gauges.openServers);
        this.addServiceGauge(
            "limited_servers",
            "Backend servers that state a limit on the calls of all nodes.",
            gauges.limitedServers,
        );
        this.addGauge(
            "emptied_domains",
            "Failure domains to whose backend servers nothing is sent, by order of the operator.",
            gauges.emptiedDomains,
        );
        if (gauges.workspaceShares !== undefined) {
            this.addShareMetrics(gauges.workspaceShares);
        }
        this.addServiceGauge(
            "cold_servers",
            "Backend servers that bear few calls because they are cold, or may be after a lost connection.",
            gauges.coldServers,
        );
        this.addGauge("peers", "Nodes that are heard.", gauges.peers);
        this.addGauge("lost_services", "Services of which no backend server is reached.", gauges.lostServices);
        this.addGauge("detoured_calls", "Calls that peers have taken from this node.", gauges.detouredCalls);
        this.addGauge("taken_calls", "Calls that this node has taken from peers.", gauges.takenCalls);
        this.addGauge(
            "quarantined_traits",
            "Prompt parts and contents of calls that are kept from the backend servers.",
            gauges.quarantinedTraits,
        );
        this.addGauge("held_bytes", "Bytes of answers and calls that are held until they are complete.", gauges.heldBytes);
        this.addGauge(
            "evictions",
            "Answers and calls that were given up because they held most of the memory.",
            gauges.evictions,
        );
        this.addConnectionGauges(gauges.connections);
        this.addGauge(
            "repeated_ids",
            "Calls that were sent to an address at which their id had been answered before.",
            gauges.repeatedIds,
        );
        this.addGauge("configuration_version", "Version of the configuration in force.", gauges.configurationVersion);
        this.addGauge("log_answering", "1 while the platform's log answers.", () => gauges.isLogAnswering() ? 1 : 0);
        new Gauge({
            name: "foxtailrail_relay_topic_reader",
            help: "1 while this node reads a topic of the platform's log for the others.",
            labelNames: ["topic"],
            registers,
            collect() {
                this.reset();
                for (const topic of gauges.readTopics()) {
                    this.set({ topic }, 1);
                }
            },
        });
        this.addGauge("dropped_log_lines", "Log lines dropped since the start.", gauges.droppedLines);
        this.addGauge("resident_bytes", "Memory of the process.", () => process.memoryUsage.rss());
    }

    /** Records a completed call. */
    record({ route, outcome, status, times, isDetour }: CallRecord): void {
        if (isDetour) {
            // The node to which the caller came counts the call.
            return;
        }
        const labels = { service: route?.shares[0]?.service ?? "none", rank: String(route?.rank ?? "none") };
        this.calls.inc({ ...labels, outcome, status: String(status) });
        this.observe({ ...labels, stage: "sent" }, times.sentMs);
        this.observe({ ...labels, stage: "first" }, times.firstMs);
        this.observe({ ...labels, stage: "end" }, times.endMs);
    }

    /** Records a call whose connection this node closed before its answer was complete. */
    recordCut({ cause, isAnswerStarted }: CutCall): void {
        this.cuts.inc({ cause, part: isAnswerStarted ? "begun" : "none" });
    }

    /** Records an answer of the node itself. */
    recordLocalAnswer({ place, status }: LocalAnswer): void {
        this.localAnswers.inc({ place, status: String(status) });
    }

    /** Records that a connection was closed because it was idle for too long. */
    recordIdleClose(): void {
        this.idleCloses.inc();
    }

    /** Records a completed read of a topic of the platform's log. */
    recordRead({ topic, outcome, durationMs }: TopicRead): void {
        this.reads.observe({ topic, outcome }, durationMs / MS_PER_SECOND);
    }

    /** Records that the platform's log was restored from an older copy. */
    recordRestore(): void {
        this.restores.inc();
    }

    /** Records that a record was written again after a restore. */
    recordRewrite(topic: string): void {
        this.rewrites.inc({ topic });
    }

    /** Records that the event loop was held up. */
    recordHoldUp(delayMs: number): void {
        this.holdUps.observe(delayMs / MS_PER_SECOND);
    }

    /** Content type of {@linkcode text}. */
    get contentType(): string {
        return this.registry.contentType;
    }

    /** Returns the metrics in the Prometheus text format. */
    text(): Promise<string> {
        return this.registry.metrics();
    }

    private observe(labels: { service: string; rank: string; stage: string }, ms: number | undefined): void {
        if (ms !== undefined) {
            this.stages.observe(labels, ms / MS_PER_SECOND);
        }
    }

    private addServiceGauge(name: string, help: string, read: () => Iterable<readonly [string, number]>): void {
        new Gauge({
            name: `foxtailrail_relay_${name}`,
            help,
            labelNames: ["service"],
            registers: [this.registry],
            collect() {
                this.reset();
                for (const [service, value] of read()) {
                    this.set({ service }, value);
                }
            },
        });
    }

    private addConnectionGauges(read: () => Iterable<readonly [string, ConnectionBound]>): void {
        const registers = [this.registry];
        new Gauge({
            name: "foxtailrail_relay_connections",
            help: "Open connections to each port.",
            labelNames: ["port"],
            registers,
            collect() {
                for (const [port, { open }] of read()) {
                    this.set({ port }, open);
                }
            },
        });
        new Gauge({
            name: "foxtailrail_relay_given_up_connections",
            help: "Connections that were closed because their port had too many, since the start.",
            labelNames: ["port", "reason"],
            registers,
            collect() {
                for (const [port, { stalled, refused, heads }] of read()) {
                    this.set({ port, reason: "stalled" }, stalled);
                    this.set({ port, reason: "refused" }, refused);
                    this.set({ port, reason: "head" }, heads);
                }
            },
        });
    }

    /** Adds the metrics of the workspaces' shares; those by workspace name only the largest that are above their share. */
    private addShareMetrics(read: () => ReadonlyMap<string, WorkspaceShares>): void {
        const registers = [this.registry];
        for (
            const [name, help, pick] of [
                ["workspace_share_slots", "Slots to which a workspace above its share is entitled.", "shareSlots"],
                ["workspace_held_slots", "Slots that a workspace above its share holds at all nodes.", "heldSlots"],
            ] as const
        ) {
            new Gauge({
                name: `foxtailrail_relay_${name}`,
                help,
                labelNames: ["service", "workspace"],
                registers,
                collect() {
                    this.reset();
                    for (const [service, shares] of read()) {
                        for (const figures of shares.figures()) {
                            this.set({ service, workspace: figures.workspace }, figures[pick]);
                        }
                    }
                },
            });
        }
        const countOf = (count: (shares: WorkspaceShares) => number) => () =>
            [...read()].map(([service, shares]) => [service, count(shares)] as const);
        this.addServiceGauge(
            "share_held_back_calls",
            "Calls that waited because their workspace was above its share, since the start.",
            countOf(shares => shares.heldBackCalls),
        );
        this.addServiceGauge(
            "share_refused_calls",
            "Calls that were refused because their workspace was above its share, since the start.",
            countOf(shares => shares.refusedCalls),
        );
    }

    private addGauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name: `foxtailrail_relay_${name}`,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            },
        });
    }
}
