/**
 * Reports of this node's calls to its peers, and what theirs mean here.
 *
 * @module
 */

import { EMPTY_REPORT, hashKey, type PeerLink, type PeerReport, tokensOf, type VersionCount } from "../../protocol/relay/mod.js";
import type { Clock, RelayWorkspace } from "../../state/relay/mod.js";
import type { Demand } from "./admission_gate.js";
import { MeshExchange } from "./mesh_exchange.js";
import type { NodeDirectory } from "./node_directory.js";
import type { PeerTable } from "./peer_table.js";
import type { ReportExchange } from "./report_exchange.js";
import type { ServerPool } from "./server_pool.js";
import { TreeExchange } from "./tree_exchange.js";
import type { WorkspaceQuota } from "./workspace_quota.js";

/** Peers up to which every node reports to every other; 16 nodes exchange no more than 1,200 reports a second. */
const MAX_MESH_PEERS = 15;

/** Settings of a {@linkcode PeerReporter}. */
export interface PeerReporterSettings {
    readonly node: string;
    readonly failureDomain: string;
    /** Processors of this node, as a number of cores. */
    readonly cores: number;
    readonly startedAtMs: number;
    readonly clock: Clock;
    readonly link: PeerLink;
    readonly directory: NodeDirectory;
    readonly peers: PeerTable;
    readonly pool: ServerPool;
    readonly quota: WorkspaceQuota;
    /** Address at which peers reach this node. */
    readonly address: () => string;
    readonly workspaces: () => Iterable<RelayWorkspace>;
    readonly versionCounts: () => readonly VersionCount[];
    /** Calls that ask for places, by service. */
    readonly demands: () => Iterable<readonly [string, Demand]>;
    readonly isLeaving: () => boolean;
    /** Time for which the platform's log has answered without an outage, in milliseconds. */
    readonly logSteadyMs: () => number;
    /** Told after peers' figures have changed. */
    readonly onChange: () => void;
    /** Told of a peer that is heard for the first time, or again after a restart. */
    readonly onPeerSeen: (report: PeerReport) => void;
    readonly onPeerGone: (report: PeerReport) => void;
}

/** Sends reports at intervals and applies those that come in. */
export class PeerReporter {
    private sequence = 0;
    private exchange: ReportExchange;
    private readonly incarnations = new Map<string, string>();

    /** @param settings See {@linkcode PeerReporterSettings}. */
    constructor(private readonly settings: PeerReporterSettings) {
        this.exchange = new MeshExchange(settings.clock, settings.directory);
    }

    /** Time between reports, in milliseconds. */
    get intervalMs(): number {
        return this.exchange.intervalMs;
    }

    /** Reports until the signal is aborted. */
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

    /** Takes a peer's report. */
    receive(report: PeerReport): void {
        if (report.node === this.settings.node) {
            return;
        }
        const { address, failureDomain, cores } = report;
        this.settings.directory.update(report.node, { address, failureDomain, cores });
        for (const counted of this.exchange.receive(report)) {
            this.applyReport(counted);
        }
        this.removeSuperseded();
    }

    private applyReport(report: PeerReport): void {
        const { peers, quota, workspaces } = this.settings;
        if (!peers.record(report)) {
            return;
        }
        const incarnation = incarnationOf(report);
        if (this.incarnations.get(report.node) !== incarnation) {
            this.incarnations.set(report.node, incarnation);
            this.settings.onPeerSeen(report);
        }
        const totals = tokensOf(report);
        for (const workspace of workspaces()) {
            const total = totals.get(hashKey(workspace.name));
            if (total !== undefined) {
                quota.takePeerTotal(workspace, incarnation, total);
            }
        }
        this.settings.onChange();
    }

    /** Changes to reports by way of aggregators once the fleet is large. */
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
            this.settings.quota.forgetPeer(incarnationOf(report));
            this.incarnations.delete(node);
        }
    }

    private expirePeers(): void {
        for (const gone of this.settings.peers.expire()) {
            this.settings.quota.forgetPeer(incarnationOf(gone));
            this.incarnations.delete(gone.node);
            this.settings.onPeerGone(gone);
        }
    }

    private makeReport(): PeerReport {
        const { node, failureDomain, cores, startedAtMs, pool, quota, address, versionCounts, isLeaving, logSteadyMs } =
            this.settings;
        const busy = [...pool.all()].filter(state => state.ownCalls > 0);
        const totals = [...quota.ownTotals()];
        this.sequence += 1;
        return {
            ...EMPTY_REPORT,
            node,
            failureDomain,
            cores,
            startedAtMs,
            sequence: this.sequence,
            address: address(),
            serverKeys: busy.map(state => hashKey(state.server.id)),
            serverCalls: busy.map(state => state.ownCalls),
            workspaceKeys: totals.map(([name]) => hashKey(name)),
            workspaceTokens: totals.map(([, tokens]) => tokens),
            versions: [...versionCounts()],
            demands: [...this.settings.demands()].map(([service, demand]) => ({ serviceKey: hashKey(service), ...demand })),
            leaving: isLeaving(),
            logSteadyMs: Math.round(logSteadyMs()),
            heardNodes: 1,
        };
    }
}

/** @returns Name of a node, its start and whose figures it reports, so that counts which start again begin anew. */
function incarnationOf({ node, startedAtMs, scope }: PeerReport): string {
    return `${node}@${startedAtMs}/${scope}`;
}
