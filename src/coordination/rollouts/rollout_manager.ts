/**
 * Runs the rollouts on one node.
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
import { AttemptObserver, type AttemptResult } from "../attempt_observer.js";
import { type VersionChoice, VersionPolicy, type VersionQuery } from "../version_policy.js";
import { callFraction } from "./call_fraction.js";
import { decodeReport, encodeReport } from "./evidence_codec.js";
import type { Peer } from "./peer_reports.js";
import { RolloutAction, RolloutController, type ServerCounts } from "./rollout_controller.js";
import type { RolloutJournal } from "./rollout_journal.js";
import { type Rollout, RolloutPhase } from "./rollout_registry.js";

/** Interval between steps of the rollouts, in milliseconds. */
export const STEP_INTERVAL_MS = 500;

/** Bytes per second that a node may receive as evidence of all nodes on one rollout. */
const EVIDENCE_BYTES_PER_SECOND = 2_500;

/** Statistic, as a share of the alarm threshold, from which evidence is shared at every step. */
const URGENT_ALARM_RATIO = 0.25;

/** Maximum time between two reports, in milliseconds; must be below the age at which a report is stale. */
const MAX_REPORT_INTERVAL_MS = 2_000;

/** Time since the log's last answer after which it counts as unreachable, in milliseconds. */
const LOG_TIMEOUT_MS = 4_000;

/** Delay between nodes that would append the same record, and the maximum delay of a node, in milliseconds. */
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

/** Rollout that this node controls, with the time of its next report. */
interface MonitoredRollout {
    readonly controller: RolloutController;
    reportAtMs: number;
}

/** Steps the rollouts of a node, chooses the version of each call, and disseminates rollbacks. */
export class RolloutManager extends VersionPolicy {
    /** Observer to which the node's attempts are reported. */
    readonly attemptObserver: AttemptObserver;
    private readonly monitoredRollouts = new Map<string, MonitoredRollout>();
    private readonly vetoes = new Map<string, rolloutWire.RollbackVeto>();
    /** Version that serves each pool according to peers, used while this node has not read the rollouts from the log. */
    private readonly peerVersions = new Map<string, string>();
    private readonly committing = new Set<string>();
    private readonly stopped = new AbortController();

    /** @param settings See {@linkcode RolloutManagerSettings}. */
    constructor(private readonly settings: RolloutManagerSettings) {
        super();
        this.attemptObserver = new CallbackAttemptObserver(result => this.recordAttempt(result));
        void runEffects(tap(value => this.receiveSharedValue(value), settings.dissemination.arrivals), newDefaultScheduler());
    }

    /** Steps all rollouts periodically until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { clock } = this.settings;
        signal.addEventListener("abort", () => this.stopped.abort(), { once: true });
        while (!signal.aborted) {
            this.step();
            await clock.sleep(STEP_INTERVAL_MS, signal);
        }
    }

    /** Steps all rollouts once. */
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

    /** Returns the controller of a rollout that this node monitors. */
    controller(rolloutId: string): RolloutController | undefined {
        return this.monitoredRollouts.get(rolloutId)?.controller;
    }

    override choose(query: VersionQuery): VersionChoice {
        const { registry } = this.settings.journal;
        const forbidden = this.forbidden(query.pool);
        const rollout = registry.latest(query.pool);
        if (rollout === undefined) {
            const version = registry.activeVersion(query.pool) ?? this.peerVersions.get(query.pool);
            return { preferred: version === undefined ? [] : [version], forbidden };
        }
        const { version, fromVersion } = rollout;
        if (forbidden.has(version)) {
            return { preferred: [fromVersion], forbidden };
        }
        const candidateShare = this.controller(rollout.id)?.shareOf(query.operation) ??
            Number(rollout.phase === RolloutPhase.Done);
        const usesCandidate = callFraction(query.callId, rollout.id) < candidateShare && (!query.retry || candidateShare >= 1);
        return { preferred: usesCandidate ? [version, fromVersion] : [fromVersion, version], forbidden };
    }

    /**
     * Stops a version on this node at once, informs the other nodes, and commits the rollback to the log.
     *
     * @param rollout Rollout to roll back.
     * @param author Operator or node that rolls it back.
     * @param reason Reason for the rollback.
     */
    rollBack(rollout: Rollout, author: string, reason: string): void {
        const { id, pool, version } = rollout;
        this.addVeto({ rollout: id, pool, version, reason }, author);
    }

    /** Returns whether this node has stopped a rollout's version, by a record of the log or a veto that arrived before it. */
    isVersionStopped(rollout: Rollout): boolean {
        return rollout.phase === RolloutPhase.RolledBack || this.vetoes.has(rollout.id);
    }

    private recordAttempt(result: AttemptResult): void {
        const rollout = this.settings.journal.registry.latest(result.pool);
        if (rollout !== undefined) {
            this.controller(rollout.id)?.recordAttempt(result, this.settings.clock.now());
        }
    }

    private forbidden(pool: string): ReadonlySet<string> {
        const logged = this.settings.journal.registry.forbidden(pool);
        const vetoed = [...this.vetoes.values()].filter(veto => veto.pool === pool && !logged.has(veto.version));
        return vetoed.length === 0 ? logged : new Set([...logged, ...vetoed.map(veto => veto.version)]);
    }

    /**
     * Returns whether a rollout is still tested: after its completion, as long as backend servers run the old version.
     *
     * Drops the controller of a rollout that is no longer tested.
     */
    private isMonitored(rollout: Rollout): boolean {
        const monitored = this.monitoredRollouts.get(rollout.id);
        const isLatest = this.settings.journal.registry.latest(rollout.pool) === rollout;
        const isMonitored = isLatest && !this.isVersionStopped(rollout) &&
            (rollout.phase !== RolloutPhase.Done || this.countServers(rollout).control > 0);
        if (!isMonitored && monitored !== undefined) {
            this.monitoredRollouts.delete(rollout.id);
        }
        return isMonitored;
    }

    private stepRollout(rollout: Rollout): void {
        const { clock, node, journal } = this.settings;
        const nowMs = clock.now();
        const monitored = this.monitoredRollout(rollout, nowMs);
        const conditions = {
            nowMs,
            logReachable: nowMs - journal.lastContactMs <= LOG_TIMEOUT_MS,
            servers: this.countServers(rollout),
        };
        const action = monitored.controller.step(node, rollout, conditions);
        this.publishReport(rollout, monitored, nowMs);
        this.applyAction(rollout, monitored.controller, action);
    }

    private monitoredRollout(rollout: Rollout, nowMs: number): MonitoredRollout {
        let monitored = this.monitoredRollouts.get(rollout.id);
        if (monitored === undefined) {
            const { failureDomain, peers, random, dissemination } = this.settings;
            const controller = new RolloutController({ rollout, failureDomain, peers, random, createdAtMs: nowMs });
            monitored = { controller, reportAtMs: 0 };
            this.monitoredRollouts.set(rollout.id, monitored);
            for (const value of dissemination.read(Topic.RolloutEvidence)) {
                this.receiveSharedValue(value);
            }
        }
        return monitored;
    }

    private publishReport(rollout: Rollout, monitored: MonitoredRollout, nowMs: number): void {
        const { dissemination, peers } = this.settings;
        const urgent = (monitored.controller.strongestFinding?.alarmRatio ?? 0) >= URGENT_ALARM_RATIO;
        if (nowMs < monitored.reportAtMs && !urgent) {
            return;
        }
        const data = encodeReport(monitored.controller.report(rollout));
        dissemination.publish(Topic.RolloutEvidence, rollout.id, data);
        const intervalMs = data.length * (peers().length + 1) / EVIDENCE_BYTES_PER_SECOND * 1_000;
        monitored.reportAtMs = nowMs + Math.min(MAX_REPORT_INTERVAL_MS, intervalMs);
    }

    private applyAction(rollout: Rollout, controller: RolloutController, action: RolloutAction): void {
        const common = { author: this.settings.node, rollout: rollout.id };
        switch (action) {
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

    private receiveSharedValue(value: SharedValue): void {
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

    /** Publishes a veto for a rollback in the log, so that a node that starts while the log is down learns of it. */
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

    /** Appends a record that any node may append; the nodes try in the order of their ids until one has succeeded. */
    private commit(record: NewRolloutRecord): void {
        if (this.committing.has(record.id)) {
            return;
        }
        this.committing.add(record.id);
        void this.commitInTurn(record);
    }

    private async commitInTurn(record: NewRolloutRecord): Promise<void> {
        const { clock, journal, node, peers } = this.settings;
        const position = peers().filter(peer => peer.id < node).length;
        await clock.sleep(Math.min(MAX_TURN_DELAY_MS, position * TURN_INTERVAL_MS), this.stopped.signal);
        if (journal.registry.outcome(record.id) === undefined) {
            await journal.commit(record, this.stopped.signal);
        }
    }

    private countServers(rollout: Rollout): ServerCounts {
        const available = this.settings.table.inPool(rollout.pool).filter(server => server.acceptsRequests);
        const count = (version: string) => available.filter(server => server.report?.version === version).length;
        return { candidate: count(rollout.version), control: count(rollout.fromVersion) };
    }
}

/** Passes each attempt to a callback. */
class CallbackAttemptObserver extends AttemptObserver {
    constructor(private readonly onAttempt: (result: AttemptResult) => void) {
        super();
    }

    override recordAttempt(result: AttemptResult): void {
        this.onAttempt(result);
    }
}
