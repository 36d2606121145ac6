/**
 * Latest reports of the other nodes on one rollout.
 *
 * @module
 */

import type { NodeReport } from "./evidence_codec.js";

/** Age up to which a report counts, in milliseconds. */
const MAX_REPORT_AGE_MS = 5_000;

/** Age of the newest report of other failure domains from which this one counts as cut off, in milliseconds. */
const ISOLATION_TIMEOUT_MS = 2_500;

/** Other entry VM. */
export interface Peer {
    readonly id: string;
    readonly failureDomain: string;
}

/** Report with the time at which its origin made it. */
interface TimedReport {
    readonly report: NodeReport;
    readonly atMs: number;
}

/** Keeps the reports of peers and tells how much of the fleet they cover. */
export class PeerReports {
    private readonly reports = new Map<string, TimedReport>();

    /**
     * @param failureDomain Failure domain of this node.
     * @param peers Returns the other entry VMs of the VM list.
     */
    constructor(private readonly failureDomain: string, private readonly peers: () => readonly Peer[]) {}

    /** Takes a report that was made at a time. */
    put(origin: string, report: NodeReport, atMs: number): void {
        const known = this.reports.get(origin);
        if (known === undefined || known.atMs < atMs) {
            this.reports.set(origin, { report, atMs });
        }
    }

    /** Returns the fresh reports of nodes that are still listed. */
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

    /** Tells whether more than half of all entry VMs, this one included, have said something lately. */
    isMajorityFresh(nowMs: number): boolean {
        return 2 * (this.freshReports(nowMs).length + 1) > this.peers().length + 1;
    }

    /**
     * Tells whether no other failure domain has said anything lately.
     *
     * @param nowMs Present time.
     * @param sinceMs Time since which reports were to be expected.
     */
    isIsolated(nowMs: number, sinceMs: number): boolean {
        const elsewhere = this.peers().filter(peer => peer.failureDomain !== this.failureDomain);
        if (elsewhere.length === 0) {
            return false;
        }
        const newestMs = Math.max(sinceMs, ...elsewhere.map(peer => this.reports.get(peer.id)?.atMs ?? 0));
        return nowMs - newestMs > ISOLATION_TIMEOUT_MS;
    }
}
