/**
 * Latest reports of the other nodes.
 *
 * @module
 */

import { callsByServerKey, hashKey, type PeerReport } from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import { type Demand, type ServiceLoads, sumDemands } from "../allotment/mod.js";
import { WorkspaceLoadSums } from "./workspace_load_sums.js";

/** Age of a report above which its calls are no longer summed, in milliseconds; several lost datagrams do not reach it. */
export const MAX_REPORT_AGE_MS = 2_500;

/** Age of a peer's report above which it is handed no calls, in milliseconds; several report intervals, as datagrams are lost. */
const MAX_DETOUR_REPORT_AGE_MS = 1_000;

/** Time without a report after which a node is removed and its share of quotas goes to the others, in milliseconds. */
export const NODE_EXPIRY_MS = 15_000;

/** Latest report of a peer. */
interface PeerEntry {
    readonly report: PeerReport;
    readonly serverCalls: ReadonlyMap<number, number>;
    readonly receivedAtMs: number;
    /** Whether `serverCalls` is included in the sums. */
    isInSums: boolean;
}

/** Number of nodes that reports covered at a time. */
interface FleetSize {
    readonly nodes: number;
    readonly atMs: number;
}

/** Keeps the latest report of each peer and sums their calls by server. */
export class PeerTable {
    private readonly peers = new Map<string, PeerEntry>();
    /** Calls of all peers, by server key. */
    private readonly callSums = new Map<number, number>();
    /** Nodes that reports covered when one of them was last given up for another node's. */
    private coveredNodes: FleetSize = { nodes: 0, atMs: -Infinity };

    /** @param clock Clock that timestamps reports. */
    constructor(private readonly clock: Clock) {}

    /**
     * Stores a report unless a newer one of the same peer is known.
     *
     * @returns Whether it was stored.
     */
    record(report: PeerReport): boolean {
        const known = this.peers.get(report.node);
        if (known !== undefined && !isNewer(report, known.report)) {
            return false;
        }
        if (known !== undefined) {
            this.removeFromSums(known);
        }
        const serverCalls = callsByServerKey(report);
        this.addCalls(serverCalls, 1);
        this.peers.set(report.node, { report, serverCalls, receivedAtMs: this.clock.now(), isInSums: true });
        return true;
    }

    /** Number of calls that other nodes have in flight at a server. */
    callsAt(serverKey: number): number {
        return this.callSums.get(serverKey) ?? 0;
    }

    /** Number of peers with a recent report, whether received directly or as part of a sum. */
    get reachablePeers(): number {
        const freshFromMs = this.clock.now() - MAX_REPORT_AGE_MS;
        let reachable = 0;
        for (const peer of this.peers.values()) {
            reachable += peer.receivedAtMs >= freshFromMs ? peer.report.heardNodes : 0;
        }
        return reachable;
    }

    /** Longest time for which the platform's log has answered any peer without an outage, in milliseconds. */
    get longestLogSteadyMs(): number {
        return this.longestLogTime((statedMs, ageMs) => statedMs + ageMs);
    }

    /** As {@linkcode longestLogSteadyMs}, up to the last reports. */
    get longestStatedLogSteadyMs(): number {
        return this.longestLogTime(statedMs => statedMs);
    }

    private longestLogTime(timeOf: (statedMs: number, ageMs: number) => number): number {
        const now = this.clock.now();
        let longest = 0;
        for (const { report, receivedAtMs } of this.peers.values()) {
            const ageMs = now - receivedAtMs;
            if (ageMs <= MAX_REPORT_AGE_MS && report.logSteadyMs > 0) {
                longest = Math.max(longest, timeOf(report.logSteadyMs, ageMs));
            }
        }
        return longest;
    }

    /** Waiting and arriving calls of a service at the other nodes. */
    demandOf(serviceKey: number): Demand {
        const summed = [...this.peers.values()].filter(peer => peer.isInSums);
        return sumDemands(summed.flatMap(({ report }) => report.demands.filter(demand => demand.serviceKey === serviceKey)));
    }

    /** Loads of the workspaces on a service at the other nodes, from recent reports; empty while slots are not short. */
    workspaceLoadsOf(serviceKey: number): ServiceLoads {
        const sums = new WorkspaceLoadSums();
        for (const { report, isInSums } of this.peers.values()) {
            if (isInSums) {
                sums.add(report.workspaceLoads);
            }
        }
        return sums.of(serviceKey);
    }

    /**
     * Whether a peer can be handed calls of a service, as far as its reports tell. A peer without a report of its own, whose figures
     * aggregators report, counts as able to.
     */
    mayTakeCalls(node: string, serviceKey: number): boolean {
        const own = this.peers.get(node);
        const isSilent = own !== undefined && own.receivedAtMs < this.clock.now() - MAX_DETOUR_REPORT_AGE_MS;
        if (isSilent || own?.report.leaving === true) {
            return false;
        }
        const nodeKey = hashKey(node);
        for (const { report, isInSums } of this.peers.values()) {
            const { lostServices } = report;
            if (isInSums && lostServices.some(lost => lost.nodeKey === nodeKey && lost.serviceKey === serviceKey)) {
                return false;
            }
        }
        return true;
    }

    /** Calls that a peer itself has in flight at servers; 0 if only aggregators report its figures. */
    callsOf(node: string): number {
        let calls = 0;
        for (const count of this.peers.get(node)?.serverCalls.values() ?? []) {
            calls += count;
        }
        return calls;
    }

    /** Latest reports of all peers that have not expired. */
    reports(): readonly PeerReport[] {
        return [...this.peers.values()].map(peer => peer.report);
    }

    /** Fraction of all nodes, including this one, that have no recent report but may still serve callers; from 0 to 1. */
    unreachableShare(): number {
        const freshFromMs = this.clock.now() - MAX_REPORT_AGE_MS;
        let unreachable = 0;
        let all = 1;
        for (const { report, receivedAtMs } of this.peers.values()) {
            const { heardNodes, silentNodes, leaving } = report;
            all += heardNodes + silentNodes;
            unreachable += silentNodes + (receivedAtMs < freshFromMs && !leaving ? heardNodes : 0);
        }
        const { nodes, atMs } = this.coveredNodes;
        const missing = atMs >= this.clock.now() - NODE_EXPIRY_MS ? Math.max(0, nodes - (all - 1)) : 0;
        return (unreachable + missing) / (all + missing);
    }

    /**
     * Removes a peer whose figures are to be part of another report. The nodes that it covered count as unreachable until one covers them.
     *
     * @returns Its latest report, or `undefined` if the peer is unknown.
     */
    remove(node: string): PeerReport | undefined {
        const peer = this.peers.get(node);
        if (peer === undefined) {
            return undefined;
        }
        this.recordCoveredNodes();
        this.removeFromSums(peer);
        this.peers.delete(node);
        return peer.report;
    }

    /** Excludes calls in outdated reports from the sums, removes expired peers and returns their reports. */
    expire(): readonly PeerReport[] {
        const now = this.clock.now();
        const expired: PeerReport[] = [];
        for (const [node, peer] of this.peers) {
            if (peer.receivedAtMs < now - MAX_REPORT_AGE_MS) {
                this.removeFromSums(peer);
            }
            if (peer.receivedAtMs < now - NODE_EXPIRY_MS) {
                this.peers.delete(node);
                expired.push(peer.report);
            }
        }
        return expired;
    }

    private recordCoveredNodes(): void {
        const now = this.clock.now();
        let nodes = 0;
        for (const { report } of this.peers.values()) {
            nodes += report.heardNodes + report.silentNodes;
        }
        if (nodes >= this.coveredNodes.nodes || this.coveredNodes.atMs < now - NODE_EXPIRY_MS) {
            this.coveredNodes = { nodes, atMs: now };
        }
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
