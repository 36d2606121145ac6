/**
 * What is known of the load that others put on backend servers: peers' sends, and the backend servers' own late reports.
 *
 * @module
 */

import type { BackendServer } from "./backend_table.js";

/** Age at which a report or a peer's word says nothing any more, in milliseconds. */
const MAX_REPORT_AGE_MS = 3_000;

/** Peers whose word is kept; beyond it the oldest is forgotten. */
const MAX_PEER_REPORTS = 512;

/** Work that one peer has at one backend server. */
export interface PeerLoad {
    readonly server: string;
    readonly tokens: number;
}

/** Word of one peer. */
interface PeerLoadReport {
    readonly loads: readonly PeerLoad[];
    readonly reportedAtMs: number;
}

/** Sums up the load that this node did not cause, each part weighed down by its age. */
export class LoadView {
    private readonly reports = new Map<string, PeerLoadReport>();
    private tokensByServer = new Map<string, number>();

    /** Takes the latest word of a peer, said at a time. */
    recordPeerReport(origin: string, works: readonly PeerLoad[], saidAtMs: number): void {
        this.reports.delete(origin);
        this.reports.set(origin, { loads: works, reportedAtMs: saidAtMs });
        if (this.reports.size > MAX_PEER_REPORTS) {
            const [oldest] = this.reports.keys();
            this.reports.delete(oldest);
        }
    }

    /** Sums the peers' words anew; those too old are forgotten. */
    refresh(nowMs: number): void {
        this.tokensByServer = new Map();
        for (const [origin, { loads: works, reportedAtMs: saidAtMs }] of this.reports) {
            const trust = weightByAge(nowMs - saidAtMs);
            if (trust === 0) {
                this.reports.delete(origin);
                continue;
            }
            for (const { server, tokens } of works) {
                this.tokensByServer.set(server, (this.tokensByServer.get(server) ?? 0) + trust * tokens);
            }
        }
    }

    /** Returns the work that peers have at a backend server, in tokens. */
    peerTokens(server: string): number {
        return this.tokensByServer.get(server) ?? 0;
    }
}

/** Returns the tokens that a backend server reported as waiting, weighed down by the report's age. */
export function reportedTokens(server: BackendServer, nowMs: number): number {
    const { report } = server;
    return report === undefined ? 0 : weightByAge(nowMs - report.atMs) * report.waitingTokens;
}

function weightByAge(ageMs: number): number {
    return Math.max(0, 1 - ageMs / MAX_REPORT_AGE_MS);
}
