/**
 * Periodic reports to the peers, and processing of theirs.
 *
 * @module
 */

import {
    EMPTY_REPORT,
    hashKey,
    type PeerLink,
    type PeerReport,
    totalsByBucketKey,
    type VersionCount,
} from "../../protocol/relay/mod.js";
import type { Clock, RelayWorkspace } from "../../state/relay/mod.js";
import type { Demand, ServiceLoads } from "../allotment/mod.js";
import type { CallQuarantine } from "./call_quarantine.js";
import { MeshExchange } from "./mesh_exchange.js";
import type { NodeDirectory } from "./node_directory.js";
import type { PeerTable } from "./peer_table.js";
import type { ReportExchange } from "./report_exchange.js";
import type { ServerPool } from "./server_pool.js";
import type { ServerStatements } from "./server_statements.js";
import type { TopicViews } from "./topic_views.js";
import { TreeExchange } from "./tree_exchange.js";
import { toWorkspaceLoads } from "./workspace_load_sums.js";
import type { WorkspaceQuota } from "./workspace_quota.js";

/** Maximum number of peers for a full-mesh exchange; 16 nodes send at most 1,200 reports per second in total. */
const MAX_MESH_PEERS = 15;

/** Settings of a {@linkcode PeerReporter}. */
export interface PeerReporterSettings {
    readonly node: string;
    readonly failureDomain: string;
    /** CPU capacity of this node, in cores. */
    readonly cores: number;
    readonly startedAtMs: number;
    readonly clock: Clock;
    readonly link: PeerLink;
    readonly directory: NodeDirectory;
    readonly peers: PeerTable;
    readonly pool: ServerPool;
    readonly quota: WorkspaceQuota;
    readonly quarantine: CallQuarantine;
    readonly statements: ServerStatements;
    readonly views: TopicViews;
    /** Address at which peers reach this node. */
    readonly address: () => string;
    readonly workspaces: () => Iterable<RelayWorkspace>;
    readonly versionCounts: () => readonly VersionCount[];
    /** Services of which this node reaches no backend server. */
    readonly lostServices: () => readonly string[];
    /** Calls that need slots, by service. */
    readonly demands: () => Iterable<readonly [string, Demand]>;
    /** Loads of the workspaces, by service whose slots are short. */
    readonly workspaceLoads?: () => Iterable<readonly [string, ServiceLoads]>;
    readonly isDraining: () => boolean;
    /** Time for which the platform's log has answered without an outage, in milliseconds. */
    readonly logSteadyMs: () => number;
    /** Called after figures of a peer have changed. */
    readonly onChange: () => void;
    /** Called on the first report of a peer, and on the first one after its restart. */
    readonly onPeerSeen: (report: PeerReport) => void;
    /** Called when a peer has not reported for so long that it is removed. */
    readonly onPeerGone: (report: PeerReport) => void;
}

/** Sends this node's report at regular intervals and applies the reports of peers. */
export class PeerReporter {
    private sequence = 0;
    private exchange: ReportExchange;
    private readonly incarnations = new Map<string, string>();

    /** @param settings See {@linkcode PeerReporterSettings}. */
    constructor(private readonly settings: PeerReporterSettings) {
        this.exchange = new MeshExchange(settings.clock, settings.directory);
    }

    /** Report interval, in milliseconds. */
    get intervalMs(): number {
        return this.exchange.intervalMs;
    }

    /** Sends reports until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            this.switchExchangeIfLarge();
            for (const { report, receivers } of this.exchange.prepareReports(this.makeReport())) {
                this.settings.link.send(report, receivers);
            }
            this.removeSuperseded();
            this.expirePeers();
            await this.settings.clock.sleep(this.exchange.intervalMs, signal);
        }
    }

    /** Handles a report from a peer. */
    receive(report: PeerReport): void {
        if (report.node === this.settings.node) {
            return;
        }
        const { address, failureDomain, cores } = report;
        this.settings.directory.update(report.node, { address, failureDomain, cores });
        for (const accepted of this.exchange.receive(report)) {
            this.applyReport(accepted);
        }
        this.removeSuperseded();
    }

    private applyReport(report: PeerReport): void {
        const { peers, quota, statements, workspaces } = this.settings;
        if (!peers.record(report)) {
            return;
        }
        const incarnation = incarnationOf(report);
        if (this.incarnations.get(report.node) !== incarnation) {
            this.incarnations.set(report.node, incarnation);
            this.settings.onPeerSeen(report);
        }
        this.settings.quarantine.merge(report.callSuspects);
        this.settings.views.merge(report.topicViews);
        const totals = totalsByBucketKey(report);
        statements.mergeLeaving(report.leavingServers);
        statements.brittle.merge(report.brittleServers);
        statements.limits.merge(report.serverLimits);
        statements.limits.recordPeerTotals(incarnation, totals);
        statements.cold?.statements.merge(report.coldServers);
        statements.cold?.recordPeerTotals(incarnation, totals);
        for (const workspace of workspaces()) {
            const total = totals.get(hashKey(workspace.name));
            if (total !== undefined) {
                quota.recordPeerTotal(workspace, incarnation, total);
            }
        }
        this.settings.onChange();
    }

    /** Switches to the tree exchange once the fleet has outgrown the mesh; never switches back. */
    private switchExchangeIfLarge(): void {
        const { node, failureDomain, clock, directory, peers } = this.settings;
        if (directory.size <= MAX_MESH_PEERS || !(this.exchange instanceof MeshExchange)) {
            return;
        }
        this.exchange = new TreeExchange({ node, failureDomain, clock, directory });
        for (const report of peers.reports()) {
            this.removePeer(report.node);
        }
    }

    private removeSuperseded(): void {
        for (const node of this.exchange.takeSuperseded()) {
            this.removePeer(node);
        }
    }

    private removePeer(node: string): void {
        const report = this.settings.peers.remove(node);
        if (report !== undefined) {
            this.removeFromBuckets(report);
        }
    }

    private expirePeers(): void {
        for (const expired of this.settings.peers.expire()) {
            this.removeFromBuckets(expired);
            this.settings.onPeerGone(expired);
        }
    }

    private removeFromBuckets(report: PeerReport): void {
        const incarnation = incarnationOf(report);
        this.settings.quota.removePeer(incarnation);
        this.settings.statements.limits.removePeer(incarnation);
        this.settings.statements.cold?.removePeer(incarnation);
        this.incarnations.delete(report.node);
    }

    private makeReport(): PeerReport {
        const { node, failureDomain, cores, startedAtMs, pool, quota, address, versionCounts, isDraining, logSteadyMs } =
            this.settings;
        const { quarantine, statements } = this.settings;
        const { limits } = statements;
        const activeServers = [...pool.all()].filter(state => state.ownCalls > 0);
        const coldServers = [...statements.cold?.statements.reported() ?? []];
        const totals = [...quota.ownTotals(), ...limits.ownTotals(), ...statements.cold?.ownTotals() ?? []];
        this.sequence += 1;
        return {
            ...EMPTY_REPORT,
            node,
            failureDomain,
            cores,
            startedAtMs,
            sequence: this.sequence,
            address: address(),
            serverKeys: activeServers.map(state => hashKey(state.server.id)),
            serverCalls: activeServers.map(state => state.ownCalls),
            bucketKeys: totals.map(([key]) => key),
            bucketTotals: totals.map(([, total]) => total),
            versions: [...versionCounts()],
            callSuspects: [...quarantine.reportedSuspects()],
            serverLimits: [...limits.reportedLimits()],
            leavingServers: [...statements.reportedLeaving()],
            brittleServers: [...statements.brittle.reported()],
            coldServers,
            demands: [...this.settings.demands()].map(([service, demand]) => ({
                serviceKey: hashKey(service),
                aboveShareCalls: 0,
                aboveShareArrivalsPerSecond: 0,
                ...demand,
            })),
            workspaceLoads: [...this.settings.workspaceLoads?.() ?? []].map(([service, loads]) =>
                toWorkspaceLoads(hashKey(service), loads)
            ),
            leaving: isDraining(),
            logSteadyMs: Math.round(logSteadyMs()),
            lostServices: this.settings.lostServices().map(service => ({
                nodeKey: hashKey(node),
                serviceKey: hashKey(service),
            })),
            topicViews: [...this.settings.views.reported()],
            heardNodes: 1,
        };
    }
}

/** @returns Key of a node, its start time and the scope of its report; totals that restart from zero get a new key. */
function incarnationOf({ node, startedAtMs, scope }: PeerReport): string {
    return `${node}@${startedAtMs}/${scope}`;
}
