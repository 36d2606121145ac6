/**
 * Decisions of one node on one rollout.
 *
 * @module
 */

import type { RandomSource } from "../../state/mod.js";
import type { AttemptFigures } from "../attempt_observer.js";
import { BaselineComparator } from "./baseline_comparator.js";
import { viewName } from "./block_statistics.js";
import type { NodeReport } from "./evidence_codec.js";
import { EvidenceMonitor, type ViewFinding } from "./evidence_monitor.js";
import type { NodeSlice } from "./evidence_slice.js";
import { LocalEvidence } from "./local_evidence.js";
import { type Peer, PeerReports } from "./peer_reports.js";
import { isActive, type Rollout, RolloutPhase } from "./rollout_registry.js";
import { isDeadlineAtRisk, nextShare, operationShare, plannedShare } from "./share_schedule.js";

/** Attempts that each operation and each engine class needs before the ramp. */
const CLEARED_ATTEMPTS = 150;

/** Statistic, as a share of the test's level, from which the share is not raised. */
const HOLD_ALARM_RATIO = 0.4;

/** Share from which the old version has too little traffic to be compared on its own. */
const BASELINE_SHARE = 0.85;

/** Share while some traffic goes back to the old version for comparison. */
const COMPARISON_SHARE = 0.5;

/** Length of a comparison, and the time after one in which none begins, in milliseconds. */
const COMPARISON_MS = 40_000;
const COMPARISON_PAUSE_MS = 30_000;

/** Time for which all nodes must send everything to the version before it is done, in milliseconds. */
const COMPLETION_DELAY_MS = 3_000;

/** Time after its start during which a node does not take missing reports for a cut, in milliseconds. */
const JOIN_GRACE_MS = 5_000;

/** Why a node does not raise the share. */
export enum HoldReason {
    None = "",
    Paused = "the rollout is paused",
    NoFreshEvidence = "less than half of the entry VMs have shared evidence lately",
    Isolated = "this failure domain hears neither the log nor any other failure domain",
    Suspicion = "the evidence is near the level of a rollback",
    Comparison = "some traffic is on the old version for comparison",
    TooFewServers = "too few backend servers run the version",
}

/** Backend servers of the pool that take work, by version. */
export interface ServerCounts {
    readonly candidate: number;
    readonly control: number;
}

/** What a controller needs to know of its node at each step. */
export interface NodeConditions {
    readonly nowMs: number;
    /** Whether the log has answered lately. */
    readonly logReachable: boolean;
    readonly servers: ServerCounts;
}

/** What a controller has decided. */
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
    /** Present time, in milliseconds since the Unix epoch. */
    readonly nowMs: number;
}

/** Merges the evidence on one rollout and computes the share of calls that this node sends to the version. */
export class RolloutController {
    /** Reports of the other nodes. */
    readonly reports: PeerReports;
    /** Evidence merged from all nodes. */
    readonly monitor: EvidenceMonitor;
    /** Share of calls that go to the version now. */
    share = 0;
    holdReason = HoldReason.None;
    private readonly local: LocalEvidence;
    private readonly baseline = new BaselineComparator();
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
        const { rollout, random, failureDomain, peers, nowMs } = settings;
        this.reports = new PeerReports(failureDomain, peers);
        this.local = new LocalEvidence({ candidate: rollout.version, control: rollout.fromVersion }, random);
        this.monitor = new EvidenceMonitor(rollout.deadlineMs - rollout.startMs, block => this.baseline.addBlock(block));
        this.lastStepMs = nowMs;
    }

    /** Strongest finding of the sequential test. */
    get strongestFinding(): ViewFinding | undefined {
        return [...this.findings.values()].sort((left, right) => right.alarmRatio - left.alarmRatio)[0];
    }

    /** Finding on the operation or engine class with the fewest attempts. */
    get thinnestFinding(): ViewFinding | undefined {
        return this.singleDimensionFindings().sort((left, right) => left.attempts - right.attempts)[0];
    }

    /** Attempts on the version in all. */
    get attempts(): number {
        return [...this.findings.values()].find(coversAllTraffic)?.attempts ?? 0;
    }

    /** Counts one attempt of this node. */
    recordAttempt(figures: AttemptFigures, nowMs: number): void {
        this.local.record(figures, nowMs, this.share);
    }

    /** Takes a report of another node that was made at a time. */
    receiveReport(origin: string, report: NodeReport, atMs: number): void {
        this.reports.put(origin, report, atMs);
        this.monitor.put(origin, report.slices);
    }

    /** Returns what this node shares with the others. */
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
        const part = this.operationFractions.get(operation);
        return operationShare(this.share, part, this.operationFractions.size);
    }

    /**
     * Looks at the evidence and sets the share.
     *
     * @param node Name of this node, under which its own evidence is merged.
     * @param rollout Rollout as the log has it.
     * @param situation What the node knows now.
     */
    step(node: string, rollout: Rollout, situation: NodeConditions): RolloutAction {
        const { nowMs } = situation;
        this.ownSlices = this.local.recentSlices(nowMs);
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
        this.setShare(rollout, situation);
        this.lastStepMs = nowMs;
        return this.decideAction(rollout, nowMs);
    }

    /** Describes the finding for which the version is rolled back. */
    describeRegression(): string {
        const finding = this.strongestFinding;
        return finding === undefined ?
            "no evidence" :
            `${finding.metric} worse than on the old version (${viewName(finding.view)}; ${finding.attempts} attempts)`;
    }

    /** Describes the operation or engine class with the fewest attempts. */
    describeThinnest(): string {
        const { thinnestFinding: thinnest } = this;
        return thinnest === undefined ? "" : viewName(thinnest.view);
    }

    /** Describes how much evidence the rollout rests on. */
    describeEvidence(): string {
        const { thinnestFinding: thinnest } = this;
        const thin = thinnest === undefined ? "none" : `${thinnest.attempts} on ${viewName(thinnest.view)}`;
        const adequate = (thinnest?.attempts ?? 0) >= CLEARED_ATTEMPTS;
        return `${this.attempts} attempts seen, fewest: ${thin}${adequate ? "" : "; too thin to tell"}`;
    }

    /** Takes over from the others how far the rollout is, when this node comes to it late. */
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
        const whole = [...this.findings.values()].find(coversAllTraffic)?.total ?? 0;
        for (const finding of this.findings.values()) {
            if (isOperation(finding) && whole > 0) {
                this.operationFractions.set(finding.view.operation ?? "", finding.total / whole);
            }
        }
    }

    private updateClearedAt(nowMs: number): void {
        if (this.clearedAtMs !== undefined) {
            return;
        }
        const views = this.singleDimensionFindings();
        if (views.length > 0 && views.every(isCleared)) {
            this.clearedAtMs = nowMs;
            return;
        }
        const cleared = this.reports.freshReports(nowMs).filter(report => report.clearedAtMs > 0);
        if (2 * cleared.length > this.settings.peers().length + 1) {
            this.clearedAtMs = median(cleared.map(report => report.clearedAtMs));
        }
    }

    private compareWithBaseline(nowMs: number): void {
        const due = nowMs - this.comparisonAtMs > COMPARISON_MS + COMPARISON_PAUSE_MS;
        if (due && this.share >= BASELINE_SHARE && this.baseline.suspectsRegression(this.monitor.recentBlocks())) {
            this.comparisonAtMs = nowMs;
        }
    }

    private setShare(rollout: Rollout, situation: NodeConditions): void {
        const { nowMs, servers } = situation;
        const wanted = this.targetShare(rollout, nowMs);
        this.holdReason = this.findHoldReason(rollout, situation);
        if (this.holdReason === HoldReason.Isolated) {
            this.share = 2 * servers.control >= servers.candidate ? 0 : Math.min(this.share, wanted);
            return;
        }
        const most = this.maxShare(rollout, servers, nowMs);
        if (this.holdReason !== HoldReason.None) {
            this.share = Math.min(this.share, most);
            return;
        }
        const next = nextShare(this.share, Math.max(wanted, this.share), this.settings.rollout, nowMs - this.lastStepMs);
        this.share = Math.min(next, most);
    }

    private targetShare(rollout: Rollout, nowMs: number): number {
        return rollout.phase === RolloutPhase.Done ? 1 : plannedShare(rollout, nowMs, this.clearedAtMs);
    }

    private maxShare(rollout: Rollout, servers: ServerCounts, nowMs: number): number {
        const compared = nowMs - this.comparisonAtMs <= COMPARISON_MS && servers.control > 0 ? COMPARISON_SHARE : 1;
        const needed = rollout.phase === RolloutPhase.Done ? 0 : rollout.neededServers;
        return Math.min(compared, needed === 0 ? 1 : servers.candidate / needed);
    }

    private findHoldReason(rollout: Rollout, { nowMs, logReachable, servers }: NodeConditions): HoldReason {
        const undecided = isActive(rollout);
        const expectedSinceMs = Math.max(rollout.startMs, this.settings.nowMs) + JOIN_GRACE_MS;
        if (undecided && !logReachable && this.reports.isIsolated(nowMs, expectedSinceMs)) {
            return HoldReason.Isolated;
        }
        if (this.isPaused(rollout, nowMs)) {
            return HoldReason.Paused;
        }
        if (undecided && !this.reports.isMajorityFresh(nowMs)) {
            return HoldReason.NoFreshEvidence;
        }
        if (nowMs - this.comparisonAtMs <= COMPARISON_MS) {
            return HoldReason.Comparison;
        }
        if (undecided && (this.strongestFinding?.alarmRatio ?? 0) >= HOLD_ALARM_RATIO) {
            return HoldReason.Suspicion;
        }
        return undecided && this.share >= this.maxShare(rollout, servers, nowMs) && this.share < 1 ?
            HoldReason.TooFewServers :
            HoldReason.None;
    }

    /** Tells whether the newest record known to this node or to a peer has paused the rollout. */
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
        const full = this.share >= 1 && this.reports.freshReports(nowMs).every(report => report.share >= 1);
        this.fullSinceMs = full ? this.fullSinceMs ?? nowMs : undefined;
        if (
            this.fullSinceMs !== undefined && nowMs - this.fullSinceMs >= COMPLETION_DELAY_MS &&
            this.holdReason === HoldReason.None
        ) {
            return RolloutAction.Done;
        }
        const held = this.holdReason !== HoldReason.None || nowMs >= rollout.deadlineMs;
        return rollout.lateReason === undefined && held && isDeadlineAtRisk(rollout, nowMs, this.share) ?
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
