/**
 * Estimate of the load that other nodes put on backend servers, from peer reports and from the servers' own delayed load
 * reports.
 *
 * @module
 */

import type { BackendServer } from "./backend_table.js";

/** Age at which the weight of a report, from a peer or a backend server, reaches zero, in milliseconds. */
const MAX_REPORT_AGE_MS = 3_000;

/** Maximum number of peer reports kept; the one received longest ago is evicted first. */
const MAX_PEER_REPORTS = 512;

/** Load that one peer has outstanding at one backend server. */
export interface PeerLoad {
    readonly server: string;
    readonly tokens: number;
}

/** Latest load report of one peer for one pool. */
interface PeerLoadReport {
    readonly loads: readonly PeerLoad[];
    readonly reportedAtMs: number;
}

/** Sums the load reported by peers, with each report weighted down linearly by its age. */
export class LoadView {
    private readonly reports = new Map<string, PeerLoadReport>();
    private tokensByServer = new Map<string, number>();

    /** Records a load report, which replaces the previous one from the same origin. */
    recordPeerReport(origin: string, loads: readonly PeerLoad[], reportedAtMs: number): void {
        this.reports.delete(origin);
        this.reports.set(origin, { loads, reportedAtMs });
        if (this.reports.size > MAX_PEER_REPORTS) {
            const [oldest] = this.reports.keys();
            this.reports.delete(oldest);
        }
    }

    /** Recomputes the sums and drops expired reports. */
    refresh(nowMs: number): void {
        this.tokensByServer = new Map();
        for (const [origin, { loads, reportedAtMs }] of this.reports) {
            const weight = weightByAge(nowMs - reportedAtMs);
            if (weight === 0) {
                this.reports.delete(origin);
                continue;
            }
            for (const { server, tokens } of loads) {
                this.tokensByServer.set(server, (this.tokensByServer.get(server) ?? 0) + weight * tokens);
            }
        }
    }

    /** Returns the age-weighted load that peers have outstanding at a backend server, in tokens. */
    peerTokens(server: string): number {
        return this.tokensByServer.get(server) ?? 0;
    }
}

/** Returns the tokens queued for prefill at a backend server by its last report, weighted down by the report's age. */
export function reportedTokens(server: BackendServer, nowMs: number): number {
    const { report } = server;
    return report === undefined ? 0 : weightByAge(nowMs - report.atMs) * report.waitingTokens;
}

function weightByAge(ageMs: number): number {
    return Math.max(0, 1 - ageMs / MAX_REPORT_AGE_MS);
}
