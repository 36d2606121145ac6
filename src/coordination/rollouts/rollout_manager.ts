/**
 * All rollouts as one node drives them.
 *
 * @module
 */

import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import {
    type Dissemination,
    type NewRolloutRecord,
    RolloutRecordKind,
    rolloutWire,
    type SharedValue,
    Topic,
} from "../../protocol/mod.js";
import { type BackendTable, type Clock, type EventRing, Part, type RandomSource } from "../../state/mod.js";
import { type AttemptFigures, AttemptObserver } from "../attempt_observer.js";
import { type VersionChoice, VersionPolicy, type VersionQuery } from "../version_policy.js";
import { callFraction } from "./call_fraction.js";
import { decodeReport, encodeReport } from "./evidence_codec.js";
import type { Peer } from "./peer_reports.js";
import { RolloutAction, RolloutController, type ServerCounts } from "./rollout_controller.js";
import type { RolloutJournal } from "./rollout_journal.js";
import { type Rollout, RolloutPhase } from "./rollout_registry.js";

/** Time between two looks at the evidence, in milliseconds. */
export const STEP_INTERVAL_MS = 500;

/** Bytes a second that the evidence of all nodes on one rollout may take at one node. */
const EVIDENCE_BYTES_PER_SECOND = 2_500;

/** Statistic, as a share of the test's level, from which evidence is shared at every step. */
const URGENT_ALARM_RATIO = 0.25;

/** Longest time between two reports, below the age at which they count as stale, in milliseconds. */
const MAX_REPORT_INTERVAL_MS = 2_000;

/** Time without an answer after which the log counts as unreachable, in milliseconds. */
const LOG_TIMEOUT_MS = 4_000;

/** Time between two nodes that append the same record, and the longest wait of a node, in milliseconds. */
const TURN_INTERVAL_MS = 500;
const MAX_TURN_DELAY_MS = 10_000;

/** Settings of a {@linkcode RolloutManager}. */
export interface RolloutManagerSettings {
    readonly node: string;
    readonly failureDomain: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly ring: EventRing;
    readonly table: BackendTable;
    readonly dissemination: Dissemination;
    readonly journal: RolloutJournal;
    /** Returns the other entry VMs of the VM list. */
    readonly peers: () => readonly Peer[];
}

/** Controller with the time of its next report. */
interface MonitoredRollout {
    readonly controller: RolloutController;
    reportAtMs: number;
}

/** Drives the rollouts of a node, chooses the version of each call, and spreads rollbacks. */
export class RolloutManager extends VersionPolicy {
    /** Takes the figures of each attempt. */
    readonly attempts: AttemptObserver;
    private readonly monitoredRollouts = new Map<string, MonitoredRollout>();
    private readonly vetoes = new Map<string, rolloutWire.RollbackVeto>();
    /** Version that serves each pool according to peers, for rollouts that this node has not read. */
    private readonly peerVersions = new Map<string, string>();
    private readonly committing = new Set<string>();
    private readonly stopped = new AbortController();

    /** @param settings See {@linkcode RolloutManagerSettings}. */
    constructor(private readonly settings: RolloutManagerSettings) {
        super();
        this.attempts = new EvidenceCollector(figures => this.recordAttempt(figures));
        void runEffects(tap(value => this.receive(value), settings.dissemination.arrivals), newDefaultScheduler());
    }

    /** Looks at all rollouts again and again until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.settings;
        signal.addEventListener("abort", () => this.stopped.abort(), { once: true });
        while (!signal.aborted) {
            this.step();
            await clock.sleep(STEP_INTERVAL_MS, signal);
        }
    }

    /** Looks at all rollouts once. */
    step(): void {
        for (const rollout of this.settings.journal.registry.all) {
            if (this.isMonitored(rollout)) {
                this.stepRollout(rollout);
            }
            else if (rollout.phase === RolloutPhase.RolledBack) {
                this.republishVeto(rollout);
            }
        }
    }

    /** Returns the controller of a rollout that this node watches. */
    controller(rolloutId: string): RolloutController | undefined {
        return this.monitoredRollouts.get(rolloutId)?.controller;
    }

    override choose(query: VersionQuery): VersionChoice {
        const { registry: book } = this.settings.journal;
        const forbidden = this.forbidden(query.pool);
        const rollout = book.latest(query.pool);
        if (rollout === undefined) {
            const version = book.activeVersion(query.pool) ?? this.peerVersions.get(query.pool);
            return { preferred: version === undefined ? [] : [version], forbidden };
        }
        const { version, fromVersion } = rollout;
        if (forbidden.has(version)) {
            return { preferred: [fromVersion], forbidden };
        }
        const candidateShare = this.controller(rollout.id)?.shareOf(query.operation) ??
            Number(rollout.phase === RolloutPhase.Done);
        const first = callFraction(query.callId, rollout.id) < candidateShare && (!query.retry || candidateShare >= 1);
        return { preferred: first ? [version, fromVersion] : [fromVersion, version], forbidden };
    }

    /**
     * Stops a version at once on this node, tells the others and makes it final in the log.
     *
     * @param rollout Rollout that is taken back.
     * @param author Who takes it back.
     * @param reason Why.
     */
    rollBack(rollout: Rollout, author: string, reason: string): void {
        const { id, pool, version } = rollout;
        this.addVeto({ rollout: id, pool, version, reason }, author);
    }

    /** Whether this node has stopped a rollout's version, in the log or ahead of it. */
    isStopped(rollout: Rollout): boolean {
        return rollout.phase === RolloutPhase.RolledBack || this.vetoes.has(rollout.id);
    }

    private recordAttempt(figures: AttemptFigures): void {
        const rollout = this.settings.journal.registry.latest(figures.pool);
        if (rollout !== undefined) {
            this.controller(rollout.id)?.recordAttempt(figures, this.settings.clock.now());
        }
    }

    private forbidden(pool: string): ReadonlySet<string> {
        const logged = this.settings.journal.registry.forbidden(pool);
        const spread = [...this.vetoes.values()].filter(veto => veto.pool === pool && !logged.has(veto.version));
        return spread.length === 0 ? logged : new Set([...logged, ...spread.map(veto => veto.version)]);
    }

    /** Tells whether evidence on a rollout still matters; after its end it does while old backend servers exist. */
    private isMonitored(rollout: Rollout): boolean {
        const driven = this.monitoredRollouts.get(rollout.id);
        const latest = this.settings.journal.registry.latest(rollout.pool) === rollout;
        const watched = latest && !this.isStopped(rollout) &&
            (rollout.phase !== RolloutPhase.Done || this.countServers(rollout).control > 0);
        if (!watched && driven !== undefined) {
            this.monitoredRollouts.delete(rollout.id);
        }
        return watched;
    }

    private stepRollout(rollout: Rollout): void {
        const { clock, node, journal } = this.settings;
        const nowMs = clock.now();
        const driven = this.monitoredRollout(rollout, nowMs);
        const situation = {
            nowMs,
            logReachable: nowMs - journal.lastContactMs <= LOG_TIMEOUT_MS,
            servers: this.countServers(rollout),
        };
        const verdict = driven.controller.step(node, rollout, situation);
        this.publishReport(rollout, driven, nowMs);
        this.applyAction(rollout, driven.controller, verdict);
    }

    private monitoredRollout(rollout: Rollout, nowMs: number): MonitoredRollout {
        let driven = this.monitoredRollouts.get(rollout.id);
        if (driven === undefined) {
            const { failureDomain, peers, random, dissemination } = this.settings;
            const controller = new RolloutController({ rollout, failureDomain, peers, random, nowMs });
            driven = { controller, reportAtMs: 0 };
            this.monitoredRollouts.set(rollout.id, driven);
            for (const value of dissemination.read(Topic.RolloutEvidence)) {
                this.receive(value);
            }
        }
        return driven;
    }

    private publishReport(rollout: Rollout, driven: MonitoredRollout, nowMs: number): void {
        const { dissemination, peers } = this.settings;
        const urgent = (driven.controller.strongestFinding?.alarmRatio ?? 0) >= URGENT_ALARM_RATIO;
        if (nowMs < driven.reportAtMs && !urgent) {
            return;
        }
        const data = encodeReport(driven.controller.report(rollout));
        dissemination.publish(Topic.RolloutEvidence, rollout.id, data);
        const intervalMs = data.length * (peers().length + 1) / EVIDENCE_BYTES_PER_SECOND * 1_000;
        driven.reportAtMs = nowMs + Math.min(MAX_REPORT_INTERVAL_MS, intervalMs);
    }

    private applyAction(rollout: Rollout, controller: RolloutController, verdict: RolloutAction): void {
        const common = { author: this.settings.node, rollout: rollout.id };
        switch (verdict) {
            case RolloutAction.RollBack:
                this.rollBack(rollout, this.settings.node, controller.describeRegression());
                return;
            case RolloutAction.Done: {
                const evidence = controller.describeEvidence();
                this.commit({ ...common, kind: RolloutRecordKind.Done, id: `${rollout.id}-done`, evidence });
                return;
            }
            case RolloutAction.Late: {
                const reason = controller.holdReason || "the deadline has passed";
                this.commit({ ...common, kind: RolloutRecordKind.Late, id: `${rollout.id}-late`, reason });
                return;
            }
            case RolloutAction.Continue:
                return;
        }
    }

    private receive(value: SharedValue): void {
        if (value.topic === Topic.RollbackVeto) {
            this.addVeto(rolloutWire.RollbackVeto.decode(value.data), value.origin);
            return;
        }
        if (value.topic !== Topic.RolloutEvidence) {
            return;
        }
        const report = decodeReport(value.data);
        if (report !== undefined) {
            this.peerVersions.set(report.pool, report.fromVersion);
            this.controller(value.key)?.receiveReport(value.origin, report, this.settings.clock.now() - value.ageMs);
        }
    }

    /** Tells peers of a rollback in the log, so that a node which starts while the log is down hears of it. */
    private republishVeto({ id, pool, version, reason }: Rollout): void {
        if (!this.vetoes.has(id)) {
            const veto = { rollout: id, pool, version, reason };
            this.vetoes.set(id, veto);
            this.settings.dissemination.publish(Topic.RollbackVeto, id, rolloutWire.RollbackVeto.encode(veto).finish());
        }
    }

    private addVeto(veto: rolloutWire.RollbackVeto, author: string): void {
        if (this.vetoes.has(veto.rollout)) {
            return;
        }
        this.vetoes.set(veto.rollout, veto);
        this.settings.dissemination.publish(Topic.RollbackVeto, veto.rollout, rolloutWire.RollbackVeto.encode(veto).finish());
        const text = `Version ${veto.version} of pool ${veto.pool} gets no more calls: ${veto.reason}.`;
        this.settings.ring.record({ part: Part.Rollout, kind: "stopped", text, peer: author });
        const { rollout, reason } = veto;
        this.commit({ kind: RolloutRecordKind.RolledBack, id: `${rollout}-rolledBack`, author, rollout, reason });
    }

    /** Appends a record that several nodes may append, the nodes one after the other, until one has landed. */
    private commit(record: NewRolloutRecord): void {
        if (this.committing.has(record.id)) {
            return;
        }
        this.committing.add(record.id);
        void this.commitInTurn(record);
    }

    private async commitInTurn(record: NewRolloutRecord): Promise<void> {
        const { clock, journal, node, peers } = this.settings;
        const place = peers().filter(peer => peer.id < node).length;
        await clock.sleep(Math.min(MAX_TURN_DELAY_MS, place * TURN_INTERVAL_MS), this.stopped.signal);
        if (journal.registry.outcome(record.id) === undefined) {
            await journal.commit(record, this.stopped.signal);
        }
    }

    private countServers(rollout: Rollout): ServerCounts {
        const live = this.settings.table.inPool(rollout.pool).filter(server => server.takesWork);
        const count = (version: string) => live.filter(server => server.report?.version === version).length;
        return { candidate: count(rollout.version), control: count(rollout.fromVersion) };
    }
}

/** Passes attempts on. */
class EvidenceCollector extends AttemptObserver {
    constructor(private readonly onAttempt: (figures: AttemptFigures) => void) {
        super();
    }

    override recordAttempt(figures: AttemptFigures): void {
        this.onAttempt(figures);
    }
}
