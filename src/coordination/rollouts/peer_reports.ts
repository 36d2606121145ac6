/**
 * Latest reports of the other entry VMs on one rollout.
 *
 * @module
 */

import type { NodeReport } from "./evidence_codec.js";

/** Age up to which a report is fresh, in milliseconds. */
const MAX_REPORT_AGE_MS = 5_000;

/** Age of the newest report from other failure domains after which this failure domain counts as isolated, in milliseconds. */
const ISOLATION_TIMEOUT_MS = 2_500;

/** Another entry VM. */
export interface Peer {
    readonly id: string;
    readonly failureDomain: string;
}

/** Report with its creation time. */
interface TimedReport {
    readonly report: NodeReport;
    readonly atMs: number;
}

/** Stores the latest report of each peer and checks how much of the fleet the fresh ones cover. */
export class PeerReports {
    private readonly reports = new Map<string, TimedReport>();

    /**
     * @param failureDomain Failure domain of this node.
     * @param peers Returns the other entry VMs of the VM list.
     */
    constructor(private readonly failureDomain: string, private readonly peers: () => readonly Peer[]) {}

    /** Stores a report unless a newer one of the same origin is known. */
    put(origin: string, report: NodeReport, atMs: number): void {
        const known = this.reports.get(origin);
        if (known === undefined || known.atMs < atMs) {
            this.reports.set(origin, { report, atMs });
        }
    }

    /** Returns the fresh reports of peers that are still in the VM list. */
    freshReports(nowMs: number): readonly NodeReport[] {
        const fresh: NodeReport[] = [];
        for (const { id } of this.peers()) {
            const timed = this.reports.get(id);
            if (timed !== undefined && nowMs - timed.atMs <= MAX_REPORT_AGE_MS) {
                fresh.push(timed.report);
            }
        }
        return fresh;
    }

    /** Returns whether more than half of all entry VMs, including this one, have a fresh report. */
    isMajorityFresh(nowMs: number): boolean {
        return 2 * (this.freshReports(nowMs).length + 1) > this.peers().length + 1;
    }

    /**
     * Returns whether no report has arrived from another failure domain within the isolation timeout.
     *
     * @param nowMs Current time, in milliseconds since the Unix epoch.
     * @param sinceMs Time since which reports are expected, in milliseconds since the Unix epoch.
     */
    isIsolated(nowMs: number, sinceMs: number): boolean {
        const remotePeers = this.peers().filter(peer => peer.failureDomain !== this.failureDomain);
        if (remotePeers.length === 0) {
            return false;
        }
        const newestMs = Math.max(sinceMs, ...remotePeers.map(peer => this.reports.get(peer.id)?.atMs ?? 0));
        return nowMs - newestMs > ISOLATION_TIMEOUT_MS;
    }
}
