/**
 * Sums over the reports of several nodes.
 *
 * @module
 */

import {
    type BrittleServer,
    callsByServerKey,
    type CallSuspect,
    type ColdServer,
    EMPTY_REPORT,
    type LeavingServer,
    type LostService,
    type PeerReport,
    type ServerLimit,
    type ServiceDemand,
    type TopicView,
    totalsByBucketKey,
    type VersionCount,
} from "../../protocol/relay/mod.js";
import type { Clock } from "../../state/relay/mod.js";
import { MAX_REPORT_AGE_MS, NODE_EXPIRY_MS } from "./peer_table.js";
import { addTopicViews } from "./topic_views.js";
import { addVersionCounts } from "./version_count_sums.js";
import { WorkspaceLoadSums } from "./workspace_load_sums.js";

/** Latest report of one sender. */
interface SenderEntry {
    readonly report: PeerReport;
    readonly receivedAtMs: number;
    /** Totals by bucket in the sender's first report. */
    readonly baselineTotals: ReadonlyMap<number, number>;
}

/** Fields of a report that are summed. */
type SummedFields = Pick<
    PeerReport,
    | "serverKeys"
    | "serverCalls"
    | "bucketKeys"
    | "bucketTotals"
    | "versions"
    | "demands"
    | "callSuspects"
    | "serverLimits"
    | "lostServices"
    | "leavingServers"
    | "brittleServers"
    | "coldServers"
    | "heardNodes"
    | "silentNodes"
    | "logSteadyMs"
    | "topicViews"
    | "workspaceLoads"
>;

/**
 * Sums the latest report of each sender. Totals of a sender count from its first report on and stay in the sum after it is
 * removed, so that the sum never decreases.
 */
export class ReportSums {
    private readonly senders = new Map<string, SenderEntry>();
    private readonly removedSenderTotals = new Map<number, number>();

    /** @param clock Clock that timestamps reports. */
    constructor(private readonly clock: Clock) {}

    /** Whether a sender has a recent report. */
    isReporting(key: string): boolean {
        const sender = this.senders.get(key);
        return sender !== undefined && this.isFresh(sender);
    }

    /**
     * Stores a report unless a newer one of the same sender is known.
     *
     * @param key Key of the sender's figures; a report of another sender replaces the previous one.
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
        const baselineTotals = isSame ? known.baselineTotals : totalsByBucketKey(report);
        this.senders.set(key, { report, receivedAtMs: this.clock.now(), baselineTotals });
    }

    /** Latest reports of all senders. */
    reports(): readonly PeerReport[] {
        return [...this.senders.values()].map(sender => sender.report);
    }

    /** Removes senders without a report for {@linkcode NODE_EXPIRY_MS}; their totals stay in the sum. */
    expire(): void {
        const expiredBeforeMs = this.clock.now() - NODE_EXPIRY_MS;
        for (const [key, sender] of this.senders) {
            if (sender.receivedAtMs < expiredBeforeMs) {
                this.remove(key);
            }
        }
    }

    /** Contribution of one sender to the sum; `undefined` if the sender is unknown. */
    partOf(key: string): PeerReport | undefined {
        const sender = this.senders.get(key);
        if (sender === undefined) {
            return undefined;
        }
        const { report } = sender;
        const totals = countedTotals(sender);
        return {
            ...EMPTY_REPORT,
            serverKeys: this.isFresh(sender) ? report.serverKeys : [],
            serverCalls: this.isFresh(sender) ? report.serverCalls : [],
            bucketKeys: [...totals.keys()],
            bucketTotals: [...totals.values()],
            versions: report.versions,
            demands: this.isFresh(sender) ? report.demands : [],
            workspaceLoads: this.isFresh(sender) ? report.workspaceLoads : [],
            heardNodes: this.isFresh(sender) ? 1 : 0,
        };
    }

    /** Sums the figures of all senders; calls and demands only from recent reports. */
    sum(): SummedFields {
        const calls = new Map<number, number>();
        const totals = new Map(this.removedSenderTotals);
        const versions = new Map<string, VersionCount>();
        const demands = new Map<number, ServiceDemand>();
        const suspects = new Map<number, CallSuspect>();
        const limits = new Map<number, ServerLimit>();
        const lostServices: LostService[] = [];
        const leavingServers = new Map<number, LeavingServer>();
        const brittleServers = new Map<number, BrittleServer>();
        const coldServers = new Map<number, ColdServer>();
        const topicViews = new Map<number, TopicView[]>();
        const workspaceLoads = new WorkspaceLoadSums();
        let heardNodes = 0;
        let silentNodes = 0;
        let logSteadyMs = 0;
        for (const sender of this.senders.values()) {
            const { report } = sender;
            addAll(totals, countedTotals(sender));
            addVersionCounts(versions, report.versions);
            addSuspects(suspects, report.callSuspects);
            addNewest(limits, report.serverLimits);
            addNewest(leavingServers, report.leavingServers);
            addNewest(brittleServers, report.brittleServers);
            addNewest(coldServers, report.coldServers);
            const nodes = Math.max(1, report.heardNodes);
            if (!this.isFresh(sender)) {
                silentNodes += report.leaving ? 0 : nodes + report.silentNodes;
                continue;
            }
            addAll(calls, callsByServerKey(report));
            addDemands(demands, report.demands);
            workspaceLoads.add(report.workspaceLoads);
            lostServices.push(...report.lostServices);
            heardNodes += nodes;
            silentNodes += report.silentNodes;
            logSteadyMs = Math.max(logSteadyMs, report.logSteadyMs);
            addTopicViews(topicViews, report.topicViews, this.clock.now() - sender.receivedAtMs);
        }
        return {
            serverKeys: [...calls.keys()],
            serverCalls: [...calls.values()],
            bucketKeys: [...totals.keys()],
            bucketTotals: [...totals.values()],
            versions: [...versions.values()],
            demands: [...demands.values()],
            callSuspects: [...suspects.values()],
            serverLimits: [...limits.values()],
            lostServices,
            leavingServers: [...leavingServers.values()],
            brittleServers: [...brittleServers.values()],
            coldServers: [...coldServers.values()],
            heardNodes,
            silentNodes,
            logSteadyMs,
            topicViews: [...topicViews.values()].flat(),
            workspaceLoads: workspaceLoads.messages(),
        };
    }

    private isFresh(sender: SenderEntry): boolean {
        return sender.receivedAtMs >= this.clock.now() - MAX_REPORT_AGE_MS;
    }

    private remove(key: string): void {
        const sender = this.senders.get(key);
        if (sender !== undefined) {
            addAll(this.removedSenderTotals, countedTotals(sender));
            this.senders.delete(key);
        }
    }
}

/** Subtracts the receiver's own part from a report of the fleet. */
export function withoutOwnPart(report: PeerReport): PeerReport {
    const { ownPart } = report;
    if (ownPart === undefined) {
        return report;
    }
    const calls = callsByServerKey(report);
    const totals = totalsByBucketKey(report);
    const versions = new Map<string, VersionCount>();
    const demands = new Map<number, ServiceDemand>();
    addDemands(demands, report.demands);
    addDemands(demands, ownPart.demands, -1);
    addAll(calls, callsByServerKey(ownPart), -1);
    addAll(totals, totalsByBucketKey(ownPart), -1);
    addVersionCounts(versions, report.versions);
    addVersionCounts(versions, ownPart.versions, -1);
    const workspaceLoads = new WorkspaceLoadSums();
    workspaceLoads.add(report.workspaceLoads);
    workspaceLoads.subtract(ownPart.workspaceLoads);
    return {
        ...report,
        serverKeys: [...calls.keys()],
        serverCalls: [...calls.values()],
        bucketKeys: [...totals.keys()],
        bucketTotals: [...totals.values()],
        versions: [...versions.values()],
        demands: [...demands.values()],
        workspaceLoads: workspaceLoads.messages(),
        heardNodes: report.heardNodes - ownPart.heardNodes,
        ownPart: undefined,
    };
}

/** @returns Whether two reports come from the same incarnation of the same node. */
function isSameSender(left: PeerReport, right: PeerReport): boolean {
    return left.node === right.node && left.startedAtMs === right.startedAtMs;
}

/** @returns Totals by bucket since the sender's first report. */
function countedTotals({ report, baselineTotals }: SenderEntry): Map<number, number> {
    const totals = totalsByBucketKey(report);
    addAll(totals, baselineTotals, -1);
    return totals;
}

function addAll(sums: Map<number, number>, figures: ReadonlyMap<number, number>, sign: 1 | -1 = 1): void {
    for (const [key, figure] of figures) {
        sums.set(key, (sums.get(key) ?? 0) + sign * figure);
    }
}

function addSuspects(merged: Map<number, CallSuspect>, suspects: readonly CallSuspect[]): void {
    for (const suspect of suspects) {
        const known = merged.get(suspect.traitKey);
        merged.set(suspect.traitKey, {
            ...suspect,
            crashKeys: unite(known?.crashKeys, suspect.crashKeys),
            crashKeysAfterAnswers: unite(known?.crashKeysAfterAnswers, suspect.crashKeysAfterAnswers),
            clearedCrashKeys: unite(known?.clearedCrashKeys, suspect.clearedCrashKeys),
            events: Math.max(known?.events ?? 0, suspect.events),
            isAnswered: suspect.isAnswered || known?.isAnswered === true,
        });
    }
}

function unite(known: readonly number[] = [], added: readonly number[] = []): number[] {
    return [...new Set([...known, ...added])];
}

/** Statement of a server in a report. */
interface ReportedStatement {
    readonly serverKey: number;
    readonly statedAtMs: number;
}

function addNewest<Statement extends ReportedStatement>(newest: Map<number, Statement>, statements: readonly Statement[]): void {
    for (const statement of statements) {
        if (statement.statedAtMs > (newest.get(statement.serverKey)?.statedAtMs ?? -Infinity)) {
            newest.set(statement.serverKey, statement);
        }
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
            aboveShareCalls: (sum?.aboveShareCalls ?? 0) + sign * demand.aboveShareCalls,
            aboveShareArrivalsPerSecond: (sum?.aboveShareArrivalsPerSecond ?? 0) + sign * demand.aboveShareArrivalsPerSecond,
        });
    }
}
