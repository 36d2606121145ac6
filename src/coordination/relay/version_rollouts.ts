/**
 * Moves of services to other versions: orders, their states in the log, and what they mean for each call.
 *
 * @module
 */

import {
    AppendConflictError,
    describeCause,
    hashKey,
    type KeyedLog,
    type KeyedRecord,
    type VersionCount,
} from "../../protocol/relay/mod.js";
import { type Clock, type VersionOrder, VersionOrderState } from "../../state/relay/mod.js";
import { decideRollout, type RolloutBounds } from "./rollout_decision.js";
import type { ServerState } from "./server_state.js";
import { VersionCallCounter } from "./version_call_counter.js";

/** Topic in which the nodes keep when each move began, so that a node that starts later knows its deadline. */
const START_TOPIC = "keyed.moves";

/** Interval at which moves under way are decided, in milliseconds. */
const DECISION_INTERVAL_MS = 250;

/** Interval at which the log is asked for the state of moves under way, in milliseconds. */
const STATE_READ_INTERVAL_MS = 750;

/** Share of the calls from which on a version takes most of them. */
const MAJORITY_SHARE = 0.5;

/** Calls are divided by a number from 0 to this one. */
const HASH_RANGE = 0x1_0000_0000;

/** Record of the state of a move in the log. */
export interface RolloutStateRecord {
    readonly service: string;
    readonly version: string;
    readonly state: VersionOrderState;
}

/** Formats of the platform's records about moves. */
export interface RolloutRecordFormat {
    /** Topic of the states that the operator reads. */
    readonly stateTopic: string;
    /** Reads a state; `undefined` when the record is another one. */
    readState(record: KeyedRecord): RolloutStateRecord | undefined;
    /** Writes a state. */
    writeState(record: RolloutStateRecord): { readonly key: string; readonly value: Uint8Array };
}

/** Settings of {@linkcode VersionRollouts}. */
export interface VersionRolloutsSettings {
    readonly clock: Clock;
    readonly log: KeyedLog;
    readonly records: RolloutRecordFormat;
    readonly bounds: RolloutBounds;
    /** Counts that peers report. */
    readonly peerCounts: () => Iterable<VersionCount>;
    /** Told of each decision that changes something. */
    readonly onChange: (text: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** One move. */
interface VersionRollout {
    readonly order: VersionOrder;
    readonly offset: number;
    startedAtMs: number;
    isStartKnown: boolean;
    share: number;
    state: VersionOrderState;
    /** State that the log holds. */
    storedState: VersionOrderState | undefined;
}

/** Follows orders, divides calls between versions, and writes the states. */
export class VersionRollouts {
    /** How calls go at each version. */
    readonly callCounter = new VersionCallCounter();
    private readonly rollouts = new Map<string, VersionRollout>();
    private statesReadAtMs = 0;

    /** @param settings See {@linkcode VersionRolloutsSettings}. */
    constructor(private readonly settings: VersionRolloutsSettings) {}

    /** Takes an order; `offset` is that of its record. */
    applyOrder(order: VersionOrder, offset: number): void {
        if ((this.rollouts.get(order.service)?.offset ?? -1) >= offset) {
            return;
        }
        this.rollouts.set(order.service, {
            order,
            offset,
            startedAtMs: this.settings.clock.now(),
            isStartKnown: false,
            share: 0,
            state: VersionOrderState.Running,
            storedState: undefined,
        });
        this.callCounter.start(order.service, offset);
        this.settings.onChange("rollout: ordered", { ...order, offset });
    }

    /** Decides moves under way until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (await this.settings.clock.sleep(DECISION_INTERVAL_MS, signal)) {
            for (const move of this.rollouts.values()) {
                if (!hasFinalState(move)) {
                    await this.advance(move);
                }
            }
        }
    }

    /**
     * Returns the servers that may take a call.
     *
     * @param callId Id of the call, which decides the version on all nodes alike.
     */
    candidates(service: string, servers: readonly ServerState[], callId: string): readonly ServerState[] {
        const move = this.rollouts.get(service);
        if (move === undefined) {
            return servers;
        }
        const isTarget = hashKey(callId) / HASH_RANGE < move.share;
        const matching = servers.filter(({ server }) => (server.version === move.order.version) === isTarget);
        if (matching.length > 0 || move.state === VersionOrderState.RolledBack) {
            return matching;
        }
        return move.state === VersionOrderState.Completed || !isTarget ? servers : [];
    }

    /** Returns the servers that take most of a service's calls: those of one version while it moves to another. */
    mainServers(service: string, servers: readonly ServerState[]): readonly ServerState[] {
        const move = this.rollouts.get(service);
        if (move === undefined) {
            return servers;
        }
        const isTarget = move.share >= MAJORITY_SHARE;
        const main = servers.filter(({ server }) => (server.version === move.order.version) === isTarget);
        return main.length > 0 ? main : servers;
    }

    /** Counts a call that ended at a server. */
    recordCall(state: ServerState, isBad: boolean): void {
        const { service, version } = state.server;
        const move = this.rollouts.get(service);
        if (move !== undefined) {
            this.callCounter.record(service, version === move.order.version, isBad);
        }
    }

    private async advance(move: VersionRollout): Promise<void> {
        const { clock, bounds, onChange } = this.settings;
        try {
            if (!move.isStartKnown) {
                await this.agreeOnStart(move);
            }
            await this.readStates();
            if (hasFinalState(move)) {
                return;
            }
            const { service, version, durationMs } = move.order;
            const evidence = this.callCounter.sum(service, this.settings.peerCounts());
            const elapsedMs = clock.now() - move.startedAtMs;
            const decision = decideRollout(evidence, { elapsedMs, durationMs }, bounds);
            if (decision.share !== move.share || decision.state !== move.state) {
                onChange("rollout: decided", { service, version, ...decision, elapsedMs: Math.round(elapsedMs), ...evidence });
            }
            move.share = decision.share;
            move.state = decision.state;
            if (move.storedState !== decision.state) {
                await this.writeState(move);
            }
        }
        catch (error) {
            onChange("rollout: log failed", { service: move.order.service, error: describeCause(error) });
        }
    }

    /** Takes the time at which the first node saw the order. */
    private async agreeOnStart(move: VersionRollout): Promise<void> {
        const { log } = this.settings;
        const page = await log.readNewest(START_TOPIC);
        const known = page.records.find(record => record.key === move.order.service);
        const start = known?.value === undefined ? undefined : parseStart(known.value);
        if (start?.offset === move.offset) {
            move.startedAtMs = Math.min(move.startedAtMs, start.startedAtMs);
            move.isStartKnown = true;
            return;
        }
        const value = Buffer.from(JSON.stringify({ offset: move.offset, startedAtMs: move.startedAtMs }));
        try {
            await log.append(START_TOPIC, move.order.service, value, page.endOffset);
        }
        catch (error) {
            if (!(error instanceof AppendConflictError)) {
                throw error;
            }
            return;
        }
        move.isStartKnown = true;
    }

    private async readStates(): Promise<void> {
        const { clock, log, records } = this.settings;
        if (clock.now() - this.statesReadAtMs < STATE_READ_INTERVAL_MS) {
            return;
        }
        this.statesReadAtMs = clock.now();
        const page = await log.readNewest(records.stateTopic);
        for (const record of page.records) {
            this.applyState(records.readState(record));
        }
    }

    private applyState(record: RolloutStateRecord | undefined): void {
        const move = record === undefined ? undefined : this.rollouts.get(record.service);
        if (record === undefined || move === undefined || move.order.version !== record.version) {
            return;
        }
        move.storedState = record.state;
        if (record.state !== VersionOrderState.Running && move.state !== record.state) {
            this.settings.onChange("rollout: settled by a peer", { ...record });
            move.state = record.state;
            move.share = record.state === VersionOrderState.Completed ? 1 : 0;
        }
    }

    /** Writes a state unless another node has written since; a final state is never replaced. */
    private async writeState(move: VersionRollout): Promise<void> {
        const { log, records, onChange } = this.settings;
        const page = await log.readNewest(records.stateTopic);
        for (const record of page.records) {
            this.applyState(records.readState(record));
        }
        if (move.storedState === move.state || hasFinalState(move)) {
            return;
        }
        const { service, version } = move.order;
        const { key, value } = records.writeState({ service, version, state: move.state });
        try {
            await log.append(records.stateTopic, key, value, page.endOffset);
        }
        catch (error) {
            if (error instanceof AppendConflictError) {
                return;
            }
            throw error;
        }
        move.storedState = move.state;
        onChange("rollout: state written", { service, version, state: move.state });
    }
}

/** @returns Whether the log holds a final state. */
function hasFinalState(move: VersionRollout): boolean {
    return move.storedState === VersionOrderState.Completed || move.storedState === VersionOrderState.RolledBack;
}

function parseStart(value: Uint8Array): { readonly offset?: unknown; readonly startedAtMs: number } | undefined {
    const start = JSON.parse(Buffer.from(value).toString("utf8")) as { offset?: unknown; startedAtMs?: unknown };
    return typeof start.startedAtMs === "number" ? { offset: start.offset, startedAtMs: start.startedAtMs } : undefined;
}
