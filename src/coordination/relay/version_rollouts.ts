/**
 * Rollouts of service versions: orders, their states in the log, and the version that each call goes to.
 *
 * @module
 */

import {
    describeCause,
    hashKey,
    type KeyedLog,
    type LogPosition,
    type PeerReport,
    type VersionCount,
} from "../../protocol/relay/mod.js";
import { type Clock, type RandomSource, type VersionOrder, VersionOrderState } from "../../state/relay/mod.js";
import { OrderChange, OrderHistory } from "./order_history.js";
import { decideRollout, type RolloutBounds } from "./rollout_decision.js";
import { RolloutEvidence, type RolloutFinding } from "./rollout_evidence.js";
import { RolloutLog, type RolloutRecordFormat } from "./rollout_log.js";
import { AttemptOutcome, ServerCallObserver } from "./server_call_observer.js";
import type { ServerState } from "./server_state.js";
import { hasStoredFinalState, isFinal, stateOf, verdictOf, type VersionRollout } from "./version_rollout.js";

/** Interval between decisions about active rollouts, in milliseconds. */
const DECISION_INTERVAL_MS = 250;

/** Time over which nodes spread the writes after the log was restored from an older copy, in milliseconds. */
const RESTORE_SPREAD_MS = 1_000;

/** Share of unreachable nodes above which this node completes no rollout, since it does not know their calls. */
const MAX_UNREACHABLE_SHARE = 0.5;

/** Share of the calls from which the new version counts as the main one. */
const MAJORITY_SHARE = 0.5;

/** Time for which a final state is reported to the peers, in milliseconds, so that those without the log learn it. */
const VERDICT_REPORT_MS = 30_000;

/** Step of the alarm ratio at which the evidence is logged. */
const LOGGED_RATIO_STEP = 0.25;

/** Number of possible key hashes; a hash divided by it is compared with the share. */
const HASH_RANGE = 0x1_0000_0000;

/** Settings of {@linkcode VersionRollouts}. */
export interface VersionRolloutsSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: KeyedLog;
    readonly records: RolloutRecordFormat;
    readonly bounds: RolloutBounds;
    /** Latest reports of the peers. */
    readonly peerReports: () => readonly PeerReport[];
    /** Returns the share of all nodes that have not reported recently, from 0 to 1. */
    readonly unreachableShare: () => number;
    /** All known servers. */
    readonly servers: () => Iterable<ServerState>;
    /** Called with a log message for each order, change of share or state, and failed access to the log. */
    readonly onChange: (text: string, detail: Readonly<Record<string, unknown>>) => void;
    /** Called when a record that was missing after a restore of the log has been written again. */
    readonly onRewrite: (topic: string) => void;
}

/** Executes rollout orders: splits calls between versions and writes the states to the log. */
export class VersionRollouts extends ServerCallObserver {
    private readonly rollouts = new Map<string, VersionRollout>();
    private readonly orders = new OrderHistory();
    private readonly rolloutLog: RolloutLog;
    private pausedUntilMs = 0;

    /** @param settings See {@linkcode VersionRolloutsSettings}. */
    constructor(private readonly settings: VersionRolloutsSettings) {
        super();
        const { clock, log, records, onChange, onRewrite } = settings;
        this.rolloutLog = new RolloutLog({
            clock,
            log,
            records,
            rollouts: this.rollouts,
            onSettled: (rollout, state) => {
                onChange("rollout: settled by a peer", { ...describe(rollout), state });
                this.settle(rollout, state);
            },
            onWritten: rollout => onChange("rollout: state written", { ...describe(rollout), state: rollout.state }),
            onRewrite,
        });
    }

    /** Starts the rollout of an order unless this or a later order is known; `position` is that of its record. */
    applyOrder(order: VersionOrder, position: LogPosition): void {
        const change = this.orders.record(order, position);
        const known = this.rollouts.get(order.service);
        if (change === OrderChange.Moved && known !== undefined) {
            this.moveRollout(known, position);
        }
        if (change !== OrderChange.New) {
            return;
        }
        this.rollouts.set(order.service, {
            order,
            serviceKey: hashKey(order.service),
            evidence: new RolloutEvidence(order.durationMs, this.settings.clock),
            position,
            startedAtMs: this.settings.clock.now(),
            isStartKnown: false,
            share: 0,
            state: VersionOrderState.Running,
            finalAtMs: undefined,
            storedState: undefined,
            isStateKnown: false,
            isLogAnswering: true,
            loggedStep: 0,
            isRestored: false,
        });
        this.rolloutLog.expireStates();
        this.settings.onChange("rollout: ordered", { ...order, ...position });
    }

    /** Verifies and restores the records of all rollouts after the log was restored from an older copy. */
    handleNewEra(): void {
        this.pausedUntilMs = this.settings.clock.now() + this.settings.random.next() * RESTORE_SPREAD_MS;
        this.rolloutLog.expireStates();
        for (const rollout of this.rollouts.values()) {
            rollout.isStartKnown = false;
            rollout.storedState = undefined;
            rollout.isRestored = true;
        }
    }

    /** Advances active rollouts until the signal is aborted. Decisions do not wait for the log. */
    async run(signal: AbortSignal): Promise<void> {
        await Promise.all([this.runDecisions(signal), this.runLogAccess(signal)]);
    }

    /** Decides about active rollouts until the signal is aborted; an error concerns one of them. */
    async runDecisions(signal: AbortSignal): Promise<void> {
        while (await this.settings.clock.sleep(DECISION_INTERVAL_MS, signal)) {
            const active = [...this.rollouts.values()].filter(rollout => !hasStoredFinalState(rollout));
            for (const state of active.length > 0 ? this.settings.servers() : []) {
                state.observeOverdueCalls();
            }
            for (const rollout of active) {
                this.tryDecide(rollout);
            }
        }
    }

    /** Reads and writes the records of active rollouts until the signal is aborted. */
    async runLogAccess(signal: AbortSignal): Promise<void> {
        while (await this.settings.clock.sleep(DECISION_INTERVAL_MS, signal)) {
            if (this.settings.clock.now() >= this.pausedUntilMs) {
                const active = [...this.rollouts.values()].filter(rollout => !hasStoredFinalState(rollout));
                await Promise.all(active.map(rollout => this.accessLog(rollout)));
            }
        }
    }

    /**
     * Returns the servers that may take a call.
     *
     * @param servers Servers that may be used.
     * @param callId Id of the call; its hash selects the version, the same one on all nodes.
     * @param open All servers that accept calls, also those that may not be used. While those of the new version may not be used, its
     * calls go to the others; while the others may not be used, their calls are not exposed to an unproven version.
     */
    candidates(
        service: string,
        servers: readonly ServerState[],
        callId: string,
        open: readonly ServerState[] = servers,
    ): readonly ServerState[] {
        const rollout = this.rollouts.get(service);
        if (rollout === undefined) {
            return servers;
        }
        const isTarget = hashKey(callId) / HASH_RANGE < rollout.share;
        const matching = servers.filter(({ server }) => (server.version === rollout.order.version) === isTarget);
        if (matching.length > 0 || rollout.state === VersionOrderState.RolledBack) {
            return matching;
        }
        if (open !== servers && open.some(({ server }) => (server.version === rollout.order.version) === isTarget)) {
            return isTarget ? servers : [];
        }
        return rollout.state === VersionOrderState.Completed || !isTarget ? servers : [];
    }

    /** Returns the servers that get most of a service's calls; during a rollout, those of one version. */
    mainServers(service: string, servers: readonly ServerState[]): readonly ServerState[] {
        const rollout = this.rollouts.get(service);
        if (rollout === undefined) {
            return servers;
        }
        const isTarget = rollout.share >= MAJORITY_SHARE;
        const main = servers.filter(({ server }) => (server.version === rollout.order.version) === isTarget);
        return main.length > 0 ? main : servers;
    }

    /** Returns this node's calls of each version under rollout, and recent final states, to be reported to the peers. */
    versionCounts(): readonly VersionCount[] {
        const now = this.settings.clock.now();
        return [...this.rollouts.values()].flatMap(rollout => {
            const { serviceKey, position, evidence, finalAtMs } = rollout;
            if (finalAtMs !== undefined && now - finalAtMs > VERDICT_REPORT_MS) {
                return [];
            }
            return evidence.counts(serviceKey, position.offset).map(count => ({ ...count, verdict: verdictOf(rollout) }));
        });
    }

    override recordSent(state: ServerState): void {
        this.findRunning(state)?.evidence.recordSent(this.isTarget(state));
    }

    override recordFirstEvent(state: ServerState, latencyMs: number): void {
        this.findRunning(state)?.evidence.recordFirstEvent(this.isTarget(state), latencyMs);
    }

    override recordInterval(state: ServerState, intervalMs: number): void {
        this.findRunning(state)?.evidence.recordInterval(this.isTarget(state), intervalMs);
    }

    override recordEnd(state: ServerState, outcome: AttemptOutcome): void {
        const evidence = this.findRunning(state)?.evidence;
        if (outcome === AttemptOutcome.Broken) {
            evidence?.recordBroken(this.isTarget(state), hashKey(state.server.id));
        }
        else if (outcome !== AttemptOutcome.Neutral) {
            evidence?.recordAnswered(this.isTarget(state), outcome === AttemptOutcome.Bad);
        }
    }

    /** @returns Rollout of a server's service, unless it has ended. */
    private findRunning({ server }: ServerState): VersionRollout | undefined {
        const rollout = this.rollouts.get(server.service);
        return rollout !== undefined && !isFinal(rollout.state) ? rollout : undefined;
    }

    private isTarget({ server }: ServerState): boolean {
        return this.rollouts.get(server.service)?.order.version === server.version;
    }

    /** Continues a rollout whose order was written again in a new era of the log. */
    private moveRollout(rollout: VersionRollout, position: LogPosition): void {
        rollout.position = position;
        rollout.isStartKnown = false;
        this.settings.onChange("rollout: order written again", { ...rollout.order, ...position, state: rollout.state });
    }

    /** Agrees on the start, and reads and writes the state. */
    private async accessLog(rollout: VersionRollout): Promise<void> {
        try {
            await this.rolloutLog.synchronize(rollout);
            rollout.isLogAnswering = true;
        }
        catch (error) {
            rollout.isLogAnswering = false;
            const { service } = rollout.order;
            this.settings.onChange("rollout: log failed", { service, state: rollout.state, error: describeCause(error) });
        }
    }

    private tryDecide(rollout: VersionRollout): void {
        try {
            this.decide(rollout);
        }
        catch (error) {
            this.settings.onChange("rollout: decision failed", { ...describe(rollout), error: describeCause(error) });
        }
    }

    private decide(rollout: VersionRollout): void {
        const { clock, bounds, onChange } = this.settings;
        const { service, version, durationMs } = rollout.order;
        this.mergePeerReports(rollout);
        if (isFinal(rollout.state) || !rollout.isStateKnown) {
            return;
        }
        const finding = rollout.evidence.evaluate();
        const elapsedMs = clock.now() - rollout.startedAtMs;
        const decision = decideRollout(finding, { elapsedMs, durationMs }, bounds);
        this.logFinding(rollout, finding);
        if (decision.state === VersionOrderState.Completed && !this.mayComplete(rollout)) {
            return;
        }
        if (decision.share !== rollout.share || decision.state !== rollout.state) {
            onChange("rollout: decided", { service, version, ...decision, elapsedMs: Math.round(elapsedMs), ...finding });
        }
        rollout.share = decision.share;
        this.setState(rollout, decision.state);
    }

    /** @returns Whether this node knows enough of the others to complete a rollout, and can record it. */
    private mayComplete(rollout: VersionRollout): boolean {
        return rollout.isLogAnswering && this.settings.unreachableShare() <= MAX_UNREACHABLE_SHARE;
    }

    /** Merges the calls that peers reported, and follows a final state that one of them knows. */
    private mergePeerReports(rollout: VersionRollout): void {
        const { service, version } = rollout.order;
        for (const report of this.settings.peerReports()) {
            for (const count of report.versions) {
                if (count.serviceKey !== rollout.serviceKey || count.order !== rollout.position.offset) {
                    continue;
                }
                rollout.evidence.merge(report, count);
                const state = stateOf(count.verdict);
                if (state !== undefined && state !== rollout.state && rollout.state !== VersionOrderState.RolledBack) {
                    this.settings.onChange("rollout: settled by a peer", { service, version, state, peer: report.node });
                    this.settle(rollout, state);
                }
            }
        }
    }

    /** Logs the evidence each time that it has become clearly stronger. */
    private logFinding(rollout: VersionRollout, finding: RolloutFinding): void {
        const step = Math.floor(finding.alarmRatio / LOGGED_RATIO_STEP);
        if (step > rollout.loggedStep) {
            rollout.loggedStep = step;
            const { service, version } = rollout.order;
            this.settings.onChange("rollout: fault suspected", { service, version, ...finding });
        }
    }

    private setState(rollout: VersionRollout, state: VersionOrderState): void {
        rollout.state = state;
        rollout.finalAtMs = isFinal(state) ? rollout.finalAtMs ?? this.settings.clock.now() : undefined;
    }

    /** Takes over a final state. */
    private settle(rollout: VersionRollout, state: VersionOrderState): void {
        this.setState(rollout, state);
        rollout.share = state === VersionOrderState.Completed ? 1 : 0;
    }
}

/** @returns Service and version of a rollout, for log lines. */
function describe({ order }: VersionRollout): Readonly<Record<string, unknown>> {
    return { service: order.service, version: order.version };
}
