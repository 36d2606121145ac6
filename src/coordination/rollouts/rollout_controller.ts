/**
 * Decisions of one node on one rollout.
 *
 * @module
 */

import type { RandomSource } from "../../state/mod.js";
import type { AttemptFigures } from "../attempt_observer.js";
import { BaselineWatch } from "./baseline_watch.js";
import { nameView } from "./block_statistics.js";
import type { NodeReport } from "./evidence_codec.js";
import { EvidenceMonitor, type ViewFinding } from "./evidence_monitor.js";
import type { NodeSlice } from "./evidence_slice.js";
import { LocalEvidence } from "./local_evidence.js";
import { type Peer, PeerReports } from "./peer_reports.js";
import { isUnderWay, type Rollout, RolloutPhase } from "./rollout_book.js";
import { approachShare, isEndangered, operationShare, plannedShare } from "./share_schedule.js";

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
const DONE_AFTER_MS = 3_000;

/** Time after its start during which a node does not take missing reports for a cut, in milliseconds. */
const JOIN_GRACE_MS = 5_000;

/** Why a node does not raise the share. */
export enum HoldReason {
    None = "",
    Paused = "the rollout is paused",
    NoFreshEvidence = "less than half of the entry VMs have shared evidence lately",
    CutOff = "this failure domain hears neither the log nor any other failure domain",
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
export interface NodeSituation {
    readonly nowMs: number;
    /** Whether the log has answered lately. */
    readonly logReachable: boolean;
    readonly servers: ServerCounts;
}

/** What a controller has decided. */
export enum Verdict {
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
    private readonly baseline = new BaselineWatch();
    private findings: ReadonlyMap<string, ViewFinding> = new Map();
    private readonly operationParts = new Map<string, number>();
    private clearedAtMs: number | undefined;
    private comparisonAtMs = -Infinity;
    private fullSinceMs: number | undefined;
    private steppedAtMs: number;
    private joined = false;
    private own: readonly NodeSlice[] = [];

    /** @param settings See {@linkcode RolloutControllerSettings}. */
    constructor(private readonly settings: RolloutControllerSettings) {
        const { rollout, random, failureDomain, peers, nowMs } = settings;
        this.reports = new PeerReports(failureDomain, peers);
        this.local = new LocalEvidence({ candidate: rollout.version, control: rollout.fromVersion }, random);
        this.monitor = new EvidenceMonitor(rollout.deadlineMs - rollout.startMs, block => this.baseline.learn(block));
        this.steppedAtMs = nowMs;
    }

    /** Strongest finding of the sequential test. */
    get strongest(): ViewFinding | undefined {
        return [...this.findings.values()].sort((left, right) => right.alarmRatio - left.alarmRatio)[0];
    }

    /** Finding on the operation or engine class with the fewest attempts. */
    get thinnest(): ViewFinding | undefined {
        return this.singleViews().sort((left, right) => left.attempts - right.attempts)[0];
    }

    /** Attempts on the version in all. */
    get attempts(): number {
        return [...this.findings.values()].find(isWhole)?.attempts ?? 0;
    }

    /** Counts one attempt of this node. */
    record(figures: AttemptFigures, nowMs: number): void {
        this.local.record(figures, nowMs, this.share);
    }

    /** Takes a report of another node that was made at a time. */
    take(origin: string, report: NodeReport, atMs: number): void {
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
            slices: this.own,
            pool: rollout.pool,
            version: rollout.version,
            fromVersion: rollout.fromVersion,
        };
    }

    /** Returns the share of one operation's calls that go to the version. */
    shareOf(operation: string): number {
        const part = this.operationParts.get(operation);
        return operationShare(this.share, part, this.operationParts.size);
    }

    /**
     * Looks at the evidence and sets the share.
     *
     * @param node Name of this node, under which its own evidence is merged.
     * @param rollout Rollout as the log has it.
     * @param situation What the node knows now.
     */
    step(node: string, rollout: Rollout, situation: NodeSituation): Verdict {
        const { nowMs } = situation;
        this.own = this.local.share(nowMs);
        this.monitor.put(node, this.own);
        this.findings = this.monitor.evaluate(nowMs);
        this.countOperations();
        if ((this.strongest?.alarmRatio ?? 0) >= 1) {
            this.share = 0;
            return Verdict.RollBack;
        }
        this.join(nowMs);
        this.clear(nowMs);
        this.compareWithBaseline(nowMs);
        this.setShare(rollout, situation);
        this.steppedAtMs = nowMs;
        return this.judge(rollout, nowMs);
    }

    /** Describes the finding for which the version is rolled back. */
    describeFault(): string {
        const finding = this.strongest;
        return finding === undefined ?
            "no evidence" :
            `${finding.metric} worse than on the old version (${nameView(finding.view)}; ${finding.attempts} attempts)`;
    }

    /** Describes the operation or engine class with the fewest attempts. */
    describeThinnest(): string {
        const { thinnest } = this;
        return thinnest === undefined ? "" : nameView(thinnest.view);
    }

    /** Describes how much evidence the rollout rests on. */
    describeEvidence(): string {
        const { thinnest } = this;
        const thin = thinnest === undefined ? "none" : `${thinnest.attempts} on ${nameView(thinnest.view)}`;
        const adequate = (thinnest?.attempts ?? 0) >= CLEARED_ATTEMPTS;
        return `${this.attempts} attempts seen, fewest: ${thin}${adequate ? "" : "; too thin to tell"}`;
    }

    /** Takes over from the others how far the rollout is, when this node comes to it late. */
    private join(nowMs: number): void {
        if (this.joined) {
            return;
        }
        const fresh = this.reports.fresh(nowMs);
        if (!this.reports.isMajorityFresh(nowMs)) {
            return;
        }
        this.joined = true;
        this.share = Math.max(this.share, median(fresh.map(report => report.share)));
    }

    private countOperations(): void {
        const whole = [...this.findings.values()].find(isWhole)?.total ?? 0;
        for (const finding of this.findings.values()) {
            if (isOperation(finding) && whole > 0) {
                this.operationParts.set(finding.view.operation ?? "", finding.total / whole);
            }
        }
    }

    private clear(nowMs: number): void {
        if (this.clearedAtMs !== undefined) {
            return;
        }
        const views = this.singleViews();
        if (views.length > 0 && views.every(isCleared)) {
            this.clearedAtMs = nowMs;
            return;
        }
        const cleared = this.reports.fresh(nowMs).filter(report => report.clearedAtMs > 0);
        if (2 * cleared.length > this.settings.peers().length + 1) {
            this.clearedAtMs = median(cleared.map(report => report.clearedAtMs));
        }
    }

    private compareWithBaseline(nowMs: number): void {
        const due = nowMs - this.comparisonAtMs > COMPARISON_MS + COMPARISON_PAUSE_MS;
        if (due && this.share >= BASELINE_SHARE && this.baseline.suspects(this.monitor.recent())) {
            this.comparisonAtMs = nowMs;
        }
    }

    private setShare(rollout: Rollout, situation: NodeSituation): void {
        const { nowMs, servers } = situation;
        const wanted = this.wantedShare(rollout, nowMs);
        this.holdReason = this.findHoldReason(rollout, situation);
        if (this.holdReason === HoldReason.CutOff) {
            this.share = 2 * servers.control >= servers.candidate ? 0 : Math.min(this.share, wanted);
            return;
        }
        const most = this.mostShare(rollout, servers, nowMs);
        if (this.holdReason !== HoldReason.None) {
            this.share = Math.min(this.share, most);
            return;
        }
        const next = approachShare(this.share, Math.max(wanted, this.share), this.settings.rollout, nowMs - this.steppedAtMs);
        this.share = Math.min(next, most);
    }

    private wantedShare(rollout: Rollout, nowMs: number): number {
        return rollout.phase === RolloutPhase.Done ? 1 : plannedShare(rollout, nowMs, this.clearedAtMs);
    }

    private mostShare(rollout: Rollout, servers: ServerCounts, nowMs: number): number {
        const compared = nowMs - this.comparisonAtMs <= COMPARISON_MS && servers.control > 0 ? COMPARISON_SHARE : 1;
        const needed = rollout.phase === RolloutPhase.Done ? 0 : rollout.neededServers;
        return Math.min(compared, needed === 0 ? 1 : servers.candidate / needed);
    }

    private findHoldReason(rollout: Rollout, { nowMs, logReachable, servers }: NodeSituation): HoldReason {
        const undecided = isUnderWay(rollout);
        const expectedSinceMs = Math.max(rollout.startMs, this.settings.nowMs) + JOIN_GRACE_MS;
        if (undecided && !logReachable && this.reports.isCutOff(nowMs, expectedSinceMs)) {
            return HoldReason.CutOff;
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
        if (undecided && (this.strongest?.alarmRatio ?? 0) >= HOLD_ALARM_RATIO) {
            return HoldReason.Suspicion;
        }
        return undecided && this.share >= this.mostShare(rollout, servers, nowMs) && this.share < 1 ?
            HoldReason.TooFewServers :
            HoldReason.None;
    }

    /** Tells whether the newest record known to this node or to a peer has paused the rollout. */
    private isPaused(rollout: Rollout, nowMs: number): boolean {
        let newest = { revision: rollout.revision, paused: rollout.phase === RolloutPhase.Paused };
        for (const report of this.reports.fresh(nowMs)) {
            if (report.revision > newest.revision) {
                newest = report;
            }
        }
        return newest.paused;
    }

    private judge(rollout: Rollout, nowMs: number): Verdict {
        if (!isUnderWay(rollout)) {
            return Verdict.Continue;
        }
        const full = this.share >= 1 && this.reports.fresh(nowMs).every(report => report.share >= 1);
        this.fullSinceMs = full ? this.fullSinceMs ?? nowMs : undefined;
        if (this.fullSinceMs !== undefined && nowMs - this.fullSinceMs >= DONE_AFTER_MS && this.holdReason === HoldReason.None) {
            return Verdict.Done;
        }
        const held = this.holdReason !== HoldReason.None || nowMs >= rollout.deadlineMs;
        return rollout.lateReason === undefined && held && isEndangered(rollout, nowMs, this.share) ?
            Verdict.Late :
            Verdict.Continue;
    }

    private singleViews(): ViewFinding[] {
        return [...this.findings.values()].filter(finding => isOperation(finding) || isEngineClass(finding));
    }
}

function isCleared(finding: ViewFinding): boolean {
    return finding.attempts >= CLEARED_ATTEMPTS && finding.alarmRatio < HOLD_ALARM_RATIO;
}

function isWhole({ view }: ViewFinding): boolean {
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
