/**
 * Rollouts of service versions: orders, their states in the log, and the version that each call goes to.
 *
 * @module
 */

import {
    AppendConflictError,
    describeCause,
    hashKey,
    type KeyedLog,
    type KeyedRecord,
    type LogPosition,
    type VersionCount,
} from "../../protocol/relay/mod.js";
import { type Clock, type RandomSource, type VersionOrder, VersionOrderState } from "../../state/relay/mod.js";
import { OrderChange, OrderHistory } from "./order_history.js";
import { decideRollout, type RolloutBounds } from "./rollout_decision.js";
import type { ServerState } from "./server_state.js";
import { VersionCallCounter } from "./version_call_counter.js";

/** Topic with the start time of each rollout, from which nodes that start later derive its deadline. */
const START_TOPIC = "keyed.moves";

/** Interval between decisions about active rollouts, in milliseconds. */
const DECISION_INTERVAL_MS = 250;

/** Minimum interval between reads of the rollout states from the log, in milliseconds. */
const STATE_READ_INTERVAL_MS = 750;

/** Era of records that do not state one. */
const DEFAULT_ERA = 0;

/** Time over which nodes spread the writes after the log was restored from an older copy, in milliseconds. */
const RESTORE_SPREAD_MS = 1_000;

/** Share of the calls from which the new version counts as the main one. */
const MAJORITY_SHARE = 0.5;

/** Number of possible key hashes; a hash divided by it is compared with the share. */
const HASH_RANGE = 0x1_0000_0000;

/** State of a rollout as recorded in the log. */
export interface RolloutStateRecord {
    readonly service: string;
    readonly version: string;
    readonly state: VersionOrderState;
}

/** Format of the platform's rollout records. */
export interface RolloutRecordFormat {
    /** Topic of the rollout states, which the operator reads. */
    readonly stateTopic: string;
    /** Decodes a state; returns `undefined` for any other record. */
    decodeState(record: KeyedRecord): RolloutStateRecord | undefined;
    /** Encodes a state. */
    encodeState(record: RolloutStateRecord): { readonly key: string; readonly value: Uint8Array };
}

/** Settings of {@linkcode VersionRollouts}. */
export interface VersionRolloutsSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: KeyedLog;
    readonly records: RolloutRecordFormat;
    readonly bounds: RolloutBounds;
    /** Call counts reported by peers. */
    readonly peerCounts: () => Iterable<VersionCount>;
    /** Called with a log message for each order, change of share or state, and failed access to the log. */
    readonly onChange: (text: string, detail: Readonly<Record<string, unknown>>) => void;
    /** Called when a record that was missing after a restore of the log has been written again. */
    readonly onRewrite: (topic: string) => void;
}

/** Rollout of one service. */
interface VersionRollout {
    readonly order: VersionOrder;
    /** Place of the order in the log. */
    position: LogPosition;
    startedAtMs: number;
    /** Whether the log holds the start time. */
    isStartKnown: boolean;
    /** Share of the calls that go to the new version, from 0 to 1. */
    share: number;
    state: VersionOrderState;
    /** State recorded in the log. */
    storedState: VersionOrderState | undefined;
    /** Whether the log has been restored from an older copy since the order was first seen. */
    isRestored: boolean;
}

/** Executes rollout orders: splits calls between versions and writes the states to the log. */
export class VersionRollouts {
    /** Call outcomes by version. */
    readonly callCounter = new VersionCallCounter();
    private readonly rollouts = new Map<string, VersionRollout>();
    private readonly orders = new OrderHistory();
    private statesReadAtMs = 0;
    private pausedUntilMs = 0;

    /** @param settings See {@linkcode VersionRolloutsSettings}. */
    constructor(private readonly settings: VersionRolloutsSettings) {}

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
            position,
            startedAtMs: this.settings.clock.now(),
            isStartKnown: false,
            share: 0,
            state: VersionOrderState.Running,
            storedState: undefined,
            isRestored: false,
        });
        this.callCounter.start(order.service, position.offset);
        this.settings.onChange("rollout: ordered", { ...order, ...position });
    }

    /** Verifies and restores the records of all rollouts after the log was restored from an older copy. */
    handleNewEra(): void {
        this.pausedUntilMs = this.settings.clock.now() + this.settings.random.next() * RESTORE_SPREAD_MS;
        this.statesReadAtMs = 0;
        for (const rollout of this.rollouts.values()) {
            rollout.isStartKnown = false;
            rollout.storedState = undefined;
            rollout.isRestored = true;
        }
    }

    /** Advances active rollouts until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (await this.settings.clock.sleep(DECISION_INTERVAL_MS, signal)) {
            for (const rollout of this.rollouts.values()) {
                if (this.settings.clock.now() >= this.pausedUntilMs && !hasStoredFinalState(rollout)) {
                    await this.advance(rollout);
                }
            }
        }
    }

    /**
     * Returns the servers that may take a call.
     *
     * @param callId Id of the call; its hash selects the version, the same one on all nodes.
     */
    candidates(service: string, servers: readonly ServerState[], callId: string): readonly ServerState[] {
        const rollout = this.rollouts.get(service);
        if (rollout === undefined) {
            return servers;
        }
        const isTarget = hashKey(callId) / HASH_RANGE < rollout.share;
        const matching = servers.filter(({ server }) => (server.version === rollout.order.version) === isTarget);
        if (matching.length > 0 || rollout.state === VersionOrderState.RolledBack) {
            return matching;
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

    /** Counts a call that ended at a server, if a rollout of its service is known. */
    recordCall(state: ServerState, isBad: boolean): void {
        const { service, version } = state.server;
        const rollout = this.rollouts.get(service);
        if (rollout !== undefined) {
            this.callCounter.record(service, version === rollout.order.version, isBad);
        }
    }

    /** Continues a rollout whose order was written again in a new era of the log. */
    private moveRollout(rollout: VersionRollout, position: LogPosition): void {
        rollout.position = position;
        rollout.isStartKnown = false;
        this.callCounter.renumber(rollout.order.service, position.offset);
        this.settings.onChange("rollout: order written again", { ...rollout.order, ...position, state: rollout.state });
    }

    private async advance(rollout: VersionRollout): Promise<void> {
        const { onChange } = this.settings;
        try {
            if (!rollout.isStartKnown) {
                await this.agreeOnStart(rollout);
            }
            await this.readStates();
            if (hasStoredFinalState(rollout)) {
                return;
            }
            if (!isFinal(rollout.state)) {
                this.decide(rollout);
            }
            if (rollout.storedState !== rollout.state) {
                await this.writeState(rollout);
            }
        }
        catch (error) {
            onChange("rollout: log failed", { service: rollout.order.service, error: describeCause(error) });
        }
    }

    private decide(rollout: VersionRollout): void {
        const { clock, bounds, onChange } = this.settings;
        const { service, version, durationMs } = rollout.order;
        const tallies = this.callCounter.sum(service, this.settings.peerCounts());
        const elapsedMs = clock.now() - rollout.startedAtMs;
        const decision = decideRollout(tallies, { elapsedMs, durationMs }, bounds);
        if (decision.share !== rollout.share || decision.state !== rollout.state) {
            onChange("rollout: decided", { service, version, ...decision, elapsedMs: Math.round(elapsedMs), ...tallies });
        }
        rollout.share = decision.share;
        rollout.state = decision.state;
    }

    /** Agrees with the other nodes on the time at which the first of them saw the order. */
    private async agreeOnStart(rollout: VersionRollout): Promise<void> {
        const { log } = this.settings;
        const page = await log.readNewest(START_TOPIC);
        const known = page.records.find(record => record.key === rollout.order.service);
        const start = known?.value === undefined ? undefined : parseStart(known.value);
        if (start?.offset === rollout.position.offset && start.era === rollout.position.era) {
            rollout.startedAtMs = Math.min(rollout.startedAtMs, start.startedAtMs);
            rollout.isStartKnown = true;
            return;
        }
        const value = Buffer.from(JSON.stringify({ ...rollout.position, startedAtMs: rollout.startedAtMs }));
        try {
            if (await log.append(START_TOPIC, rollout.order.service, value, page.endOffset) !== page.era) {
                return;
            }
        }
        catch (error) {
            if (!(error instanceof AppendConflictError)) {
                throw error;
            }
            return;
        }
        rollout.isStartKnown = true;
        if (rollout.isRestored) {
            this.settings.onRewrite(START_TOPIC);
        }
    }

    private async readStates(): Promise<void> {
        const { clock, log, records } = this.settings;
        if (clock.now() - this.statesReadAtMs < STATE_READ_INTERVAL_MS) {
            return;
        }
        this.statesReadAtMs = clock.now();
        const page = await log.readNewest(records.stateTopic);
        for (const record of page.records) {
            this.applyState(records.decodeState(record));
        }
    }

    private applyState(record: RolloutStateRecord | undefined): void {
        const rollout = record === undefined ? undefined : this.rollouts.get(record.service);
        if (record === undefined || rollout === undefined || rollout.order.version !== record.version) {
            return;
        }
        rollout.storedState = record.state;
        if (record.state !== VersionOrderState.Running && rollout.state !== record.state) {
            this.settings.onChange("rollout: settled by a peer", { ...record });
            rollout.state = record.state;
            rollout.share = record.state === VersionOrderState.Completed ? 1 : 0;
        }
    }

    /** Writes the state unless the topic has changed since it was read; a final state is never overwritten. */
    private async writeState(rollout: VersionRollout): Promise<void> {
        const { log, records, onChange } = this.settings;
        const page = await log.readNewest(records.stateTopic);
        for (const record of page.records) {
            this.applyState(records.decodeState(record));
        }
        if (rollout.storedState === rollout.state || hasStoredFinalState(rollout)) {
            return;
        }
        const { service, version } = rollout.order;
        const { key, value } = records.encodeState({ service, version, state: rollout.state });
        try {
            if (await log.append(records.stateTopic, key, value, page.endOffset) !== page.era) {
                return;
            }
        }
        catch (error) {
            if (error instanceof AppendConflictError) {
                return;
            }
            throw error;
        }
        rollout.storedState = rollout.state;
        if (rollout.isRestored) {
            this.settings.onRewrite(records.stateTopic);
        }
        onChange("rollout: state written", { service, version, state: rollout.state });
    }
}

/** @returns Whether the log holds a final state. */
function hasStoredFinalState(rollout: VersionRollout): boolean {
    return rollout.storedState !== undefined && isFinal(rollout.storedState);
}

function isFinal(state: VersionOrderState): boolean {
    return state !== VersionOrderState.Running;
}

/** Recorded start of a rollout. */
interface RolloutStart {
    readonly offset: unknown;
    readonly era: unknown;
    readonly startedAtMs: number;
}

function parseStart(value: Uint8Array): RolloutStart | undefined {
    const start = JSON.parse(Buffer.from(value).toString("utf8")) as { offset?: unknown; era?: unknown; startedAtMs?: unknown };
    const { offset, era, startedAtMs } = start;
    return typeof startedAtMs === "number" ? { offset, era: era ?? DEFAULT_ERA, startedAtMs } : undefined;
}
