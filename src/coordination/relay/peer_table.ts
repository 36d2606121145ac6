/**
 * What the other nodes report of their calls.
 *
 * @module
 */

import { callsOf, type PeerReport } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import { type Demand, sumDemands } from "./admission_gate.js";

/** Age of a report beyond which its node's calls count no more, in milliseconds; the slowest reports come every 1.7 s. */
export const MAX_REPORT_AGE_MS = 2_500;

/** Silence after which a node is taken as gone and its share of quotas falls to the others, in milliseconds. */
export const NODE_EXPIRY_MS = 15_000;

/** Last report of a node. */
interface PeerEntry {
    readonly report: PeerReport;
    readonly serverCalls: ReadonlyMap<number, number>;
    readonly receivedAtMs: number;
    /** Whether the calls are part of the sums. */
    isInSums: boolean;
}

/** Keeps the newest report of each peer. */
export class PeerTable {
    private readonly peers = new Map<string, PeerEntry>();
    /** Calls of all peers by server. */
    private readonly callSums = new Map<number, number>();

    /** @param clock Clock that dates reports. */
    constructor(private readonly clock: Clock) {}

    /**
     * Takes a report.
     *
     * @returns Whether it is newer than what is known.
     */
    record(report: PeerReport): boolean {
        const known = this.peers.get(report.node);
        if (known !== undefined && !isNewer(report, known.report)) {
            return false;
        }
        if (known !== undefined) {
            this.removeFromSums(known);
        }
        const serverCalls = callsOf(report);
        this.addCalls(serverCalls, 1);
        this.peers.set(report.node, { report, serverCalls, receivedAtMs: this.clock.now(), isInSums: true });
        return true;
    }

    /** Calls that other nodes have under way at a server. */
    callsAt(serverKey: number): number {
        return this.callSums.get(serverKey) ?? 0;
    }

    /** Peers that were heard lately, directly or as part of a sum. */
    get heardPeers(): number {
        const fromMs = this.clock.now() - MAX_REPORT_AGE_MS;
        let heard = 0;
        for (const peer of this.peers.values()) {
            heard += peer.receivedAtMs >= fromMs ? peer.report.heardNodes : 0;
        }
        return heard;
    }

    /** Longest time for which the platform's log has answered a peer without an outage, in milliseconds. */
    get longestLogSteadyMs(): number {
        const now = this.clock.now();
        let longest = 0;
        for (const { report, receivedAtMs: heardAtMs } of this.peers.values()) {
            const ageMs = now - heardAtMs;
            if (ageMs <= MAX_REPORT_AGE_MS && report.logSteadyMs > 0) {
                longest = Math.max(longest, report.logSteadyMs + ageMs);
            }
        }
        return longest;
    }

    /** Calls of a service that wait or arrive at other nodes. */
    demandOf(serviceKey: number): Demand {
        const counted = [...this.peers.values()].filter(peer => peer.isInSums);
        return sumDemands(counted.flatMap(({ report }) => report.demands.filter(demand => demand.serviceKey === serviceKey)));
    }

    /** Newest reports of all peers that are not gone. */
    reports(): readonly PeerReport[] {
        return [...this.peers.values()].map(peer => peer.report);
    }

    /** Part of all nodes, this one included, that is not heard but may still serve callers; from 0 to 1. */
    unheardShare(): number {
        const fromMs = this.clock.now() - MAX_REPORT_AGE_MS;
        let unheard = 0;
        let all = 1;
        for (const { report, receivedAtMs: heardAtMs } of this.peers.values()) {
            const { heardNodes, silentNodes, leaving } = report;
            all += heardNodes + silentNodes;
            unheard += silentNodes + (heardAtMs < fromMs && !leaving ? heardNodes : 0);
        }
        return unheard / all;
    }

    /**
     * Removes a peer whose figures another report now holds.
     *
     * @returns Its newest report, if it was known.
     */
    remove(node: string): PeerReport | undefined {
        const peer = this.peers.get(node);
        if (peer === undefined) {
            return undefined;
        }
        this.removeFromSums(peer);
        this.peers.delete(node);
        return peer.report;
    }

    /** Leaves calls of silent peers out of the sums, removes peers that are gone and returns their reports. */
    expire(): readonly PeerReport[] {
        const now = this.clock.now();
        const gone: PeerReport[] = [];
        for (const [node, peer] of this.peers) {
            if (peer.receivedAtMs < now - MAX_REPORT_AGE_MS) {
                this.removeFromSums(peer);
            }
            if (peer.receivedAtMs < now - NODE_EXPIRY_MS) {
                this.peers.delete(node);
                gone.push(peer.report);
            }
        }
        return gone;
    }

    private removeFromSums(peer: PeerEntry): void {
        if (peer.isInSums) {
            peer.isInSums = false;
            this.addCalls(peer.serverCalls, -1);
        }
    }

    private addCalls(serverCalls: ReadonlyMap<number, number>, sign: 1 | -1): void {
        for (const [key, calls] of serverCalls) {
            const sum = (this.callSums.get(key) ?? 0) + sign * calls;
            if (sum === 0) {
                this.callSums.delete(key);
            }
            else {
                this.callSums.set(key, sum);
            }
        }
    }
}

function isNewer(report: PeerReport, known: PeerReport): boolean {
    if (report.startedAtMs !== known.startedAtMs) {
        return report.startedAtMs > known.startedAtMs;
    }
    return report.sequence > known.sequence;
}
