/**
 * Sums of the reports of several nodes.
 *
 * @module
 */

import {
    callsOf,
    EMPTY_REPORT,
    type PeerReport,
    type ServiceDemand,
    tokensOf,
    type VersionCount,
} from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import { MAX_REPORT_AGE_MS, NODE_EXPIRY_MS } from "./peer_table.js";

/** Newest report of one sender. */
interface SenderEntry {
    readonly report: PeerReport;
    readonly receivedAtMs: number;
    /** Tokens by workspace that the sender had counted before it was first heard. */
    readonly baselineTokens: ReadonlyMap<number, number>;
}

/** Figures that are added up into a report. */
type Figures = Pick<
    PeerReport,
    | "serverKeys"
    | "serverCalls"
    | "workspaceKeys"
    | "workspaceTokens"
    | "versions"
    | "demands"
    | "heardNodes"
    | "silentNodes"
    | "logSteadyMs"
>;

/**
 * Adds up the newest report of each sender. Tokens of a sender count from its first report on and stay in the sum when it goes, so
 * that the sum never falls.
 */
export class ReportSums {
    private readonly senders = new Map<string, SenderEntry>();
    private readonly removedSenderTokens = new Map<number, number>();

    /** @param clock Clock that dates reports. */
    constructor(private readonly clock: Clock) {}

    /** Whether a sender has reported lately. */
    isReporting(key: string): boolean {
        const member = this.senders.get(key);
        return member !== undefined && this.isFresh(member);
    }

    /**
     * Takes a report.
     *
     * @param key Name under which the sender's figures are kept; one sender at a time.
     */
    record(key: string, report: PeerReport): void {
        const known = this.senders.get(key);
        const isSame = known !== undefined && isSameSender(known.report, report);
        if (isSame && report.sequence <= known.report.sequence) {
            return;
        }
        if (known !== undefined && !isSame) {
            this.remove(key);
        }
        const baseTokens = isSame ? known.baselineTokens : tokensOf(report);
        this.senders.set(key, { report, receivedAtMs: this.clock.now(), baselineTokens: baseTokens });
    }

    /** Newest reports of all senders. */
    reports(): readonly PeerReport[] {
        return [...this.senders.values()].map(member => member.report);
    }

    /** Removes senders that have been silent for long; their tokens stay in the sum. */
    expire(): void {
        const fromMs = this.clock.now() - NODE_EXPIRY_MS;
        for (const [key, member] of this.senders) {
            if (member.receivedAtMs < fromMs) {
                this.remove(key);
            }
        }
    }

    /** Part of the sum that comes from one sender. */
    partOf(key: string): PeerReport | undefined {
        const member = this.senders.get(key);
        if (member === undefined) {
            return undefined;
        }
        const { report } = member;
        const tokens = countedTokens(member);
        return {
            ...EMPTY_REPORT,
            serverKeys: this.isFresh(member) ? report.serverKeys : [],
            serverCalls: this.isFresh(member) ? report.serverCalls : [],
            workspaceKeys: [...tokens.keys()],
            workspaceTokens: [...tokens.values()],
            versions: report.versions,
            demands: this.isFresh(member) ? report.demands : [],
            heardNodes: this.isFresh(member) ? 1 : 0,
        };
    }

    /** Adds up what is known. */
    sum(): Figures {
        const calls = new Map<number, number>();
        const tokens = new Map(this.removedSenderTokens);
        const versions = new Map<string, VersionCount>();
        const demands = new Map<number, ServiceDemand>();
        let heardNodes = 0;
        let silentNodes = 0;
        let logSteadyMs = 0;
        for (const member of this.senders.values()) {
            const { report } = member;
            addAll(tokens, countedTokens(member));
            addVersions(versions, report.versions);
            const nodes = Math.max(1, report.heardNodes);
            if (!this.isFresh(member)) {
                silentNodes += report.leaving ? 0 : nodes + report.silentNodes;
                continue;
            }
            addAll(calls, callsOf(report));
            addDemands(demands, report.demands);
            heardNodes += nodes;
            silentNodes += report.silentNodes;
            logSteadyMs = Math.max(logSteadyMs, report.logSteadyMs);
        }
        return {
            serverKeys: [...calls.keys()],
            serverCalls: [...calls.values()],
            workspaceKeys: [...tokens.keys()],
            workspaceTokens: [...tokens.values()],
            versions: [...versions.values()],
            demands: [...demands.values()],
            heardNodes,
            silentNodes,
            logSteadyMs,
        };
    }

    private isFresh(member: SenderEntry): boolean {
        return member.receivedAtMs >= this.clock.now() - MAX_REPORT_AGE_MS;
    }

    private remove(key: string): void {
        const member = this.senders.get(key);
        if (member !== undefined) {
            addAll(this.removedSenderTokens, countedTokens(member));
            this.senders.delete(key);
        }
    }
}

/** Takes the receiver's own part out of a report of its fleet. */
export function withoutOwnPart(report: PeerReport): PeerReport {
    const { ownPart } = report;
    if (ownPart === undefined) {
        return report;
    }
    const calls = callsOf(report);
    const tokens = tokensOf(report);
    const versions = new Map<string, VersionCount>();
    const demands = new Map<number, ServiceDemand>();
    addDemands(demands, report.demands);
    addDemands(demands, ownPart.demands, -1);
    addAll(calls, callsOf(ownPart), -1);
    addAll(tokens, tokensOf(ownPart), -1);
    addVersions(versions, report.versions);
    addVersions(versions, ownPart.versions, -1);
    return {
        ...report,
        serverKeys: [...calls.keys()],
        serverCalls: [...calls.values()],
        workspaceKeys: [...tokens.keys()],
        workspaceTokens: [...tokens.values()],
        versions: [...versions.values()],
        demands: [...demands.values()],
        heardNodes: report.heardNodes - ownPart.heardNodes,
        ownPart: undefined,
    };
}

/** @returns Whether two reports come from the same start of the same node. */
function isSameSender(left: PeerReport, right: PeerReport): boolean {
    return left.node === right.node && left.startedAtMs === right.startedAtMs;
}

function countedTokens({ report, baselineTokens: baseTokens }: SenderEntry): Map<number, number> {
    const tokens = tokensOf(report);
    addAll(tokens, baseTokens, -1);
    return tokens;
}

function addAll(sums: Map<number, number>, figures: ReadonlyMap<number, number>, sign: 1 | -1 = 1): void {
    for (const [key, figure] of figures) {
        sums.set(key, (sums.get(key) ?? 0) + sign * figure);
    }
}

function addVersions(sums: Map<string, VersionCount>, versions: readonly VersionCount[], sign: 1 | -1 = 1): void {
    for (const count of versions) {
        const key = `${count.serviceKey} ${count.order} ${count.isTarget}`;
        const sum = sums.get(key);
        sums.set(key, {
            ...count,
            calls: (sum?.calls ?? 0) + sign * count.calls,
            bad: (sum?.bad ?? 0) + sign * count.bad,
        });
    }
}

function addDemands(sums: Map<number, ServiceDemand>, demands: readonly ServiceDemand[], sign: 1 | -1 = 1): void {
    for (const demand of demands) {
        const sum = sums.get(demand.serviceKey);
        sums.set(demand.serviceKey, {
            serviceKey: demand.serviceKey,
            inTimeCalls: (sum?.inTimeCalls ?? 0) + sign * demand.inTimeCalls,
            lateCalls: (sum?.lateCalls ?? 0) + sign * demand.lateCalls,
            arrivalsPerSecond: (sum?.arrivalsPerSecond ?? 0) + sign * demand.arrivalsPerSecond,
        });
    }
}
