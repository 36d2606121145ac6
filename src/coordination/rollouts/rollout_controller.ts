/**
 * Controls the traffic share of one rollout on one node.
 *
 * @module
 */

import type { RandomSource } from "../../state/mod.js";
import type { AttemptResult } from "../attempt_observer.js";
import { EvidenceMonitor, type NodeSlice, type ViewFinding, viewName } from "../evidence/mod.js";
import { BaselineComparator } from "./baseline_comparator.js";
import type { NodeReport } from "./evidence_codec.js";
import { LocalEvidence } from "./local_evidence.js";
import { type Peer, PeerReports } from "./peer_reports.js";
import { isActive, type Rollout, RolloutPhase } from "./rollout_registry.js";
import { isDeadlineAtRisk, nextShare, operationShare, plannedShare } from "./share_schedule.js";

/** Attempts that each operation and each engine class needs for the canary evidence to be sufficient. */
const CLEARED_ATTEMPTS = 150;

/** Statistic, as a share of the alarm threshold, from which the traffic share is not raised. */
const HOLD_ALARM_RATIO = 0.4;

/** Traffic share from which the old version gets too few calls for the sequential test. */
const BASELINE_SHARE = 0.85;

/** Traffic share during a comparison, when traffic returns to the old version. */
const COMPARISON_SHARE = 0.5;

/** Duration of a comparison, and minimum time from its end to the start of the next, in milliseconds. */
const COMPARISON_MS = 40_000;
const COMPARISON_PAUSE_MS = 30_000;

/** Time for which all nodes must send all calls to the version before the rollout is done, in milliseconds. */
const COMPLETION_DELAY_MS = 3_000;

/** Time after a start of the node or rollout during which missing reports do not count as isolation, in milliseconds. */
const JOIN_GRACE_MS = 5_000;

/** Reason for which a node does not raise the share. */
export enum HoldReason {
    None = "",
    Paused = "the rollout is paused",
    NoFreshEvidence = "less than half of the entry VMs have shared evidence lately",
    Isolated = "this failure domain hears neither the log nor any other failure domain",
    Suspicion = "the evidence is near the level of a rollback",
    Comparison = "some traffic is on the old version for comparison",
    TooFewServers = "too few backend servers run the version",
}

/** Number of backend servers of the pool that accept requests, by version. */
export interface ServerCounts {
    readonly candidate: number;
    readonly control: number;
}

/** State of the node that a controller needs at each step. */
export interface NodeConditions {
    readonly nowMs: number;
    /** Whether the log has answered within the last few seconds. */
    readonly logReachable: boolean;
    readonly servers: ServerCounts;
}

/** Action that a controller requests after a step. */
export enum RolloutAction {
    Continue = "continue",
    RollBack = "rollBack",
    Done = "done",
    Late = "late",
}

/** Settings of a {@linkcode RolloutController}. */
export interface RolloutControllerSettings {
    readonly rollout: Rollout;
    readonly failureDomain: string;
    /** Returns the other entry VMs of the VM list. */
    readonly peers: () => readonly Peer[];
    readonly random: RandomSource;
    /** Time at which this node starts to control the rollout, in milliseconds since the Unix epoch. */
    readonly createdAtMs: number;
}

/** Merges the evidence on one rollout and computes the share of this node's calls that go to the version. */
export class RolloutController {
    /** Reports of the other nodes. */
    readonly reports: PeerReports;
    /** Evidence merged from all nodes. */
    readonly monitor: EvidenceMonitor;
    /** Current share of calls that go to the version. */
    share = 0;
    holdReason = HoldReason.None;
    private readonly localEvidence: LocalEvidence;
    private readonly baselineComparator = new BaselineComparator();
    private findings: ReadonlyMap<string, ViewFinding> = new Map();
    private readonly operationFractions = new Map<string, number>();
    private clearedAtMs: number | undefined;
    private comparisonAtMs = -Infinity;
    private fullSinceMs: number | undefined;
    private lastStepMs: number;
    private caughtUp = false;
    private ownSlices: readonly NodeSlice[] = [];

    /** @param settings See {@linkcode RolloutControllerSettings}. */
    constructor(private readonly settings: RolloutControllerSettings) {
        const { rollout, random, failureDomain, peers, createdAtMs } = settings;
        this.reports = new PeerReports(failureDomain, peers);
        this.localEvidence = new LocalEvidence({ candidate: rollout.version, control: rollout.fromVersion }, random);
        this.monitor = new EvidenceMonitor(
            rollout.deadlineMs - rollout.startMs,
            block => this.baselineComparator.addBlock(block),
        );
        this.lastStepMs = createdAtMs;
    }

    /** Finding with the highest statistic. */
    get strongestFinding(): ViewFinding | undefined {
        return [...this.findings.values()].sort((left, right) => right.alarmRatio - left.alarmRatio)[0];
    }

    /** Finding on the operation or engine class with the fewest attempts. */
    get thinnestFinding(): ViewFinding | undefined {
        return this.singleDimensionFindings().sort((left, right) => left.attempts - right.attempts)[0];
    }

    /** Total number of attempts on the version. */
    get attempts(): number {
        return [...this.findings.values()].find(coversAllTraffic)?.attempts ?? 0;
    }

    /** Records one attempt of this node. */
    recordAttempt(result: AttemptResult, nowMs: number): void {
        this.localEvidence.record(result, nowMs, this.share);
    }

    /** Merges a report of another node, created at `atMs`. */
    receiveReport(origin: string, report: NodeReport, atMs: number): void {
        this.reports.put(origin, report, atMs);
        this.monitor.put(origin, report.slices);
    }

    /** Returns the report that this node shares with the others. */
    report(rollout: Rollout): NodeReport {
        return {
            share: this.share,
            clearedAtMs: this.clearedAtMs ?? 0,
            revision: rollout.revision,
            paused: rollout.phase === RolloutPhase.Paused,
            slices: this.ownSlices,
            pool: rollout.pool,
            version: rollout.version,
            fromVersion: rollout.fromVersion,
        };
    }

    /** Returns the share of one operation's calls that go to the version. */
    shareOf(operation: string): number {
        const fraction = this.operationFractions.get(operation);
        return operationShare(this.share, fraction, this.operationFractions.size);
    }

    /**
     * Evaluates the evidence and updates the share.
     *
     * @param node Name of this node, used as the origin of its own evidence.
     * @param rollout Rollout according to the log.
     * @param conditions Current state of the node.
     */
    step(node: string, rollout: Rollout, conditions: NodeConditions): RolloutAction {
        const { nowMs } = conditions;
        this.ownSlices = this.localEvidence.recentSlices(nowMs);
        this.monitor.put(node, this.ownSlices);
        this.findings = this.monitor.evaluate(nowMs);
        this.countOperations();
        if ((this.strongestFinding?.alarmRatio ?? 0) >= 1) {
            this.share = 0;
            return RolloutAction.RollBack;
        }
        this.catchUp(nowMs);
        this.updateClearedAt(nowMs);
        this.compareWithBaseline(nowMs);
        this.setShare(rollout, conditions);
        this.lastStepMs = nowMs;
        return this.decideAction(rollout, nowMs);
    }

    /** Describes the finding that caused the rollback. */
    describeRegression(): string {
        const finding = this.strongestFinding;
        return finding === undefined ?
            "no evidence" :
            `${finding.metric} worse than on the old version (${viewName(finding.view)}; ${finding.attempts} attempts)`;
    }

    /** Describes the view with the fewest attempts. */
    describeThinnestView(): string {
        const { thinnestFinding } = this;
        return thinnestFinding === undefined ? "" : viewName(thinnestFinding.view);
    }

    /** Describes how many attempts support the completion of the rollout. */
    describeEvidence(): string {
        const { thinnestFinding } = this;
        const fewest = thinnestFinding === undefined ?
            "none" :
            `${thinnestFinding.attempts} on ${viewName(thinnestFinding.view)}`;
        const adequate = (thinnestFinding?.attempts ?? 0) >= CLEARED_ATTEMPTS;
        return `${this.attempts} attempts seen, fewest: ${fewest}${adequate ? "" : "; too thin to tell"}`;
    }

    /** Raises the share to the peers' median once a majority has reported, so that a late node does not start at zero. */
    private catchUp(nowMs: number): void {
        if (this.caughtUp) {
            return;
        }
        const fresh = this.reports.freshReports(nowMs);
        if (!this.reports.isMajorityFresh(nowMs)) {
            return;
        }
        this.caughtUp = true;
        this.share = Math.max(this.share, median(fresh.map(report => report.share)));
    }

    private countOperations(): void {
        const total = [...this.findings.values()].find(coversAllTraffic)?.total ?? 0;
        for (const finding of this.findings.values()) {
            if (isOperation(finding) && total > 0) {
                this.operationFractions.set(finding.view.operation ?? "", finding.total / total);
            }
        }
    }

    /** Records when the canary evidence became sufficient, by this node's findings or the reports of a majority of all nodes. */
    private updateClearedAt(nowMs: number): void {
        if (this.clearedAtMs !== undefined) {
            return;
        }
        const findings = this.singleDimensionFindings();
        if (findings.length > 0 && findings.every(isCleared)) {
            this.clearedAtMs = nowMs;
            return;
        }
        const cleared = this.reports.freshReports(nowMs).filter(report => report.clearedAtMs > 0);
        if (2 * cleared.length > this.settings.peers().length + 1) {
            this.clearedAtMs = median(cleared.map(report => report.clearedAtMs));
        }
    }

    private compareWithBaseline(nowMs: number): void {
        const mayCompare = nowMs - this.comparisonAtMs > COMPARISON_MS + COMPARISON_PAUSE_MS;
        if (
            mayCompare && this.share >= BASELINE_SHARE && this.baselineComparator.suspectsRegression(this.monitor.recentBlocks())
        ) {
            this.comparisonAtMs = nowMs;
        }
    }

    private setShare(rollout: Rollout, conditions: NodeConditions): void {
        const { nowMs, servers } = conditions;
        const target = this.targetShare(rollout, nowMs);
        this.holdReason = this.findHoldReason(rollout, conditions);
        if (this.holdReason === HoldReason.Isolated) {
            this.share = 2 * servers.control >= servers.candidate ? 0 : Math.min(this.share, target);
            return;
        }
        const maxShare = this.maxShare(rollout, servers, nowMs);
        if (this.holdReason !== HoldReason.None) {
            this.share = Math.min(this.share, maxShare);
            return;
        }
        const next = nextShare(this.share, Math.max(target, this.share), this.settings.rollout, nowMs - this.lastStepMs);
        this.share = Math.min(next, maxShare);
    }

    private targetShare(rollout: Rollout, nowMs: number): number {
        return rollout.phase === RolloutPhase.Done ? 1 : plannedShare(rollout, nowMs, this.clearedAtMs);
    }

    private maxShare(rollout: Rollout, servers: ServerCounts, nowMs: number): number {
        const comparisonLimit = nowMs - this.comparisonAtMs <= COMPARISON_MS && servers.control > 0 ? COMPARISON_SHARE : 1;
        const neededServers = rollout.phase === RolloutPhase.Done ? 0 : rollout.neededServers;
        return Math.min(comparisonLimit, neededServers === 0 ? 1 : servers.candidate / neededServers);
    }

    private findHoldReason(rollout: Rollout, { nowMs, logReachable, servers }: NodeConditions): HoldReason {
        const active = isActive(rollout);
        const expectedSinceMs = Math.max(rollout.startMs, this.settings.createdAtMs) + JOIN_GRACE_MS;
        if (active && !logReachable && this.reports.isIsolated(nowMs, expectedSinceMs)) {
            return HoldReason.Isolated;
        }
        if (this.isPaused(rollout, nowMs)) {
            return HoldReason.Paused;
        }
        if (active && !this.reports.isMajorityFresh(nowMs)) {
            return HoldReason.NoFreshEvidence;
        }
        if (nowMs - this.comparisonAtMs <= COMPARISON_MS) {
            return HoldReason.Comparison;
        }
        if (active && (this.strongestFinding?.alarmRatio ?? 0) >= HOLD_ALARM_RATIO) {
            return HoldReason.Suspicion;
        }
        return active && this.share >= this.maxShare(rollout, servers, nowMs) && this.share < 1 ?
            HoldReason.TooFewServers :
            HoldReason.None;
    }

    /** Returns whether the rollout is paused at the highest revision known to this node or to a peer. */
    private isPaused(rollout: Rollout, nowMs: number): boolean {
        let newest = { revision: rollout.revision, paused: rollout.phase === RolloutPhase.Paused };
        for (const report of this.reports.freshReports(nowMs)) {
            if (report.revision > newest.revision) {
                newest = report;
            }
        }
        return newest.paused;
    }

    private decideAction(rollout: Rollout, nowMs: number): RolloutAction {
        if (!isActive(rollout)) {
            return RolloutAction.Continue;
        }
        const isFull = this.share >= 1 && this.reports.freshReports(nowMs).every(report => report.share >= 1);
        this.fullSinceMs = isFull ? this.fullSinceMs ?? nowMs : undefined;
        if (
            this.fullSinceMs !== undefined && nowMs - this.fullSinceMs >= COMPLETION_DELAY_MS &&
            this.holdReason === HoldReason.None
        ) {
            return RolloutAction.Done;
        }
        const heldOrOverdue = this.holdReason !== HoldReason.None || nowMs >= rollout.deadlineMs;
        return rollout.lateReason === undefined && heldOrOverdue && isDeadlineAtRisk(rollout, nowMs, this.share) ?
            RolloutAction.Late :
            RolloutAction.Continue;
    }

    private singleDimensionFindings(): ViewFinding[] {
        return [...this.findings.values()].filter(finding => isOperation(finding) || isEngineClass(finding));
    }
}

function isCleared(finding: ViewFinding): boolean {
    return finding.attempts >= CLEARED_ATTEMPTS && finding.alarmRatio < HOLD_ALARM_RATIO;
}

function coversAllTraffic({ view }: ViewFinding): boolean {
    return !view.underLoad && view.operation === undefined && view.engineClass === undefined;
}

function isOperation({ view }: ViewFinding): boolean {
    return view.operation !== undefined && view.engineClass === undefined;
}

function isEngineClass({ view }: ViewFinding): boolean {
    return view.operation === undefined && view.engineClass !== undefined;
}

function median(values: readonly number[]): number {
    return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}
