/**
 * Reports of this node's calls to its peers, and what theirs mean here.
 *
 * @module
 */

import { hashKey, type PeerLink, type PeerReport, type VersionCount } from "../../protocol/relay/mod.js";
import type { Clock, RelayWorkspace } from "../../state/relay/mod.js";
import type { NodeDirectory } from "./node_directory.js";
import type { PeerTable } from "./peer_table.js";
import type { ServerPool } from "./server_pool.js";
import type { WorkspaceQuota } from "./workspace_quota.js";

/** Time between reports to a small fleet, in milliseconds; a tenth of a typical call's time at an engine. */
const REPORT_INTERVAL_MS = 200;

/** Most datagrams a second to nodes of the same failure domain, which compete for the same servers first. */
const MAX_NEAR_PER_SECOND = 50;

/** Most datagrams a second to nodes of other failure domains, to which bytes are dear. */
const MAX_FAR_PER_SECOND = 40;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Settings of a {@linkcode PeerReporter}. */
export interface PeerReporterSettings {
    readonly node: string;
    readonly failureDomain: string;
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
    readonly isLeaving: () => boolean;
    /** Time for which the platform's log has answered without an outage, in milliseconds. */
    readonly logSteadyMs: () => number;
    /** Told after peers' figures have changed. */
    readonly onChange: () => void;
    /** Told of a peer that is heard for the first time, or again after a restart. */
    readonly onPeer: (report: PeerReport) => void;
    readonly onPeerGone: (report: PeerReport) => void;
}

/** Sends reports at intervals and applies those that come in. */
export class PeerReporter {
    private sequence = 0;
    private readonly incarnations = new Map<string, string>();

    /** @param settings See {@linkcode PeerReporterSettings}. */
    constructor(private readonly settings: PeerReporterSettings) {}

    /** Reports until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([
            this.reportTo(() => this.settings.directory.near(), MAX_NEAR_PER_SECOND, signal),
            this.reportTo(() => this.settings.directory.far(), MAX_FAR_PER_SECOND, signal),
        ]);
    }

    private async reportTo(
        list: () => readonly string[],
        maxPerSecond: number,
        signal: AbortSignal,
    ): Promise<void> {
        while (!signal.aborted) {
            const addresses = list();
            if (addresses.length > 0) {
                this.settings.link.send(this.makeReport(), addresses);
            }
            this.expire();
            const pauseMs = Math.max(REPORT_INTERVAL_MS, addresses.length * MS_PER_SECOND / maxPerSecond);
            await this.settings.clock.sleep(pauseMs, signal);
        }
    }

    /** Takes a peer's report. */
    take(report: PeerReport): void {
        const { node, peers, directory, quota, workspaces } = this.settings;
        if (report.node === node || !peers.take(report)) {
            return;
        }
        directory.learn(report.node, { address: report.address, failureDomain: report.failureDomain });
        const incarnation = incarnationOf(report);
        if (this.incarnations.get(report.node) !== incarnation) {
            this.incarnations.set(report.node, incarnation);
            this.settings.onPeer(report);
        }
        const totals = new Map(report.workspaceKeys.map((key, index) => [key, report.workspaceTokens[index] ?? 0]));
        for (const workspace of workspaces()) {
            const total = totals.get(hashKey(workspace.name));
            if (total !== undefined) {
                quota.takePeerTotal(workspace, incarnation, total);
            }
        }
        this.settings.onChange();
    }

    private expire(): void {
        for (const gone of this.settings.peers.expire()) {
            this.settings.quota.forgetPeer(incarnationOf(gone));
            this.incarnations.delete(gone.node);
            this.settings.onPeerGone(gone);
        }
    }

    private makeReport(): PeerReport {
        const { node, failureDomain, startedAtMs, pool, quota, address, versionCounts, isLeaving, logSteadyMs } = this.settings;
        const busy = [...pool.all()].filter(state => state.ownCalls > 0);
        const totals = [...quota.ownTotals()];
        this.sequence += 1;
        return {
            node,
            failureDomain,
            startedAtMs,
            sequence: this.sequence,
            address: address(),
            serverKeys: busy.map(state => hashKey(state.server.id)),
            serverCalls: busy.map(state => state.ownCalls),
            workspaceKeys: totals.map(([name]) => hashKey(name)),
            workspaceTokens: totals.map(([, tokens]) => tokens),
            versions: [...versionCounts()],
            leaving: isLeaving(),
            logSteadyMs: Math.round(logSteadyMs()),
        };
    }
}

/** @returns Name of a node and its start, so that counts of a node that started again begin anew. */
function incarnationOf(report: PeerReport): string {
    return `${report.node}@${report.startedAtMs}`;
}
