/**
 * What the other nodes report of their calls.
 *
 * @module
 */

import type { PeerReport } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";

/** Age of a report beyond which its node's calls count no more, in milliseconds; a node reports several times a second. */
const REPORT_AGE_MS = 1_500;

/** Silence after which a node is taken as gone and its share of quotas falls to the others, in milliseconds. */
const GONE_AFTER_MS = 15_000;

/** Last report of a node. */
interface PeerEntry {
    readonly report: PeerReport;
    readonly serverCalls: ReadonlyMap<number, number>;
    readonly heardAtMs: number;
}

/** Keeps the newest report of each peer. */
export class PeerTable {
    private readonly peers = new Map<string, PeerEntry>();

    /** @param clock Clock that dates reports. */
    constructor(private readonly clock: Clock) {}

    /**
     * Takes a report.
     *
     * @returns Whether it is newer than what is known.
     */
    take(report: PeerReport): boolean {
        const known = this.peers.get(report.node)?.report;
        if (known !== undefined && !isNewer(report, known)) {
            return false;
        }
        const serverCalls = new Map(report.serverKeys.map((key, index) => [key, report.serverCalls[index] ?? 0]));
        this.peers.set(report.node, { report, serverCalls, heardAtMs: this.clock.now() });
        return true;
    }

    /** Calls that other nodes have under way at a server. */
    callsAt(serverKey: number): number {
        const fromMs = this.clock.now() - REPORT_AGE_MS;
        let calls = 0;
        for (const peer of this.peers.values()) {
            if (peer.heardAtMs >= fromMs) {
                calls += peer.serverCalls.get(serverKey) ?? 0;
            }
        }
        return calls;
    }

    /** Newest reports of all peers that are not gone. */
    reports(): readonly PeerReport[] {
        return [...this.peers.values()].map(peer => peer.report);
    }

    /** Part of all nodes, this one included, that is not heard but may still serve callers; from 0 to 1. */
    unheardShare(): number {
        const fromMs = this.clock.now() - REPORT_AGE_MS;
        let unheard = 0;
        for (const peer of this.peers.values()) {
            unheard += peer.heardAtMs < fromMs && !peer.report.leaving ? 1 : 0;
        }
        return unheard / (this.peers.size + 1);
    }

    /** Removes peers that are gone and returns their reports. */
    expire(): readonly PeerReport[] {
        const fromMs = this.clock.now() - GONE_AFTER_MS;
        const gone: PeerReport[] = [];
        for (const [node, peer] of this.peers) {
            if (peer.heardAtMs < fromMs) {
                this.peers.delete(node);
                gone.push(peer.report);
            }
        }
        return gone;
    }
}

function isNewer(report: PeerReport, known: PeerReport): boolean {
    if (report.startedAtMs !== known.startedAtMs) {
        return report.startedAtMs > known.startedAtMs;
    }
    return report.sequence > known.sequence;
}
