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
import type { ServerState } from "./server_state.js";
import { VersionEvidence } from "./version_evidence.js";
import { decideMove, type MoveBounds } from "./version_move.js";

/** Topic in which the nodes keep when each move began, so that a node that starts later knows its deadline. */
const START_TOPIC = "keyed.moves";

/** Interval at which moves under way are decided, in milliseconds. */
const DECIDE_INTERVAL_MS = 250;

/** Interval at which the log is asked for the state of moves under way, in milliseconds. */
const STATE_INTERVAL_MS = 750;

/** Share of the calls from which on a version takes most of them. */
const MAIN_SHARE = 0.5;

/** Calls are divided by a number from 0 to this one. */
const HASH_RANGE = 0x1_0000_0000;

/** Record of the state of a move in the log. */
export interface MoveStateRecord {
    readonly service: string;
    readonly version: string;
    readonly state: VersionOrderState;
}

/** Formats of the platform's records about moves. */
export interface MoveRecords {
    /** Topic of the states that the operator reads. */
    readonly stateTopic: string;
    /** Reads a state; `undefined` when the record is another one. */
    readState(record: KeyedRecord): MoveStateRecord | undefined;
    /** Writes a state. */
    writeState(record: MoveStateRecord): { readonly key: string; readonly value: Uint8Array };
}

/** Settings of {@linkcode VersionMoves}. */
export interface VersionMovesSettings {
    readonly clock: Clock;
    readonly log: KeyedLog;
    readonly records: MoveRecords;
    readonly bounds: MoveBounds;
    /** Counts that peers report. */
    readonly peerCounts: () => Iterable<VersionCount>;
    /** Told of each decision that changes something. */
    readonly onChange: (text: string, detail: Readonly<Record<string, unknown>>) => void;
}

/** One move. */
interface Move {
    readonly order: VersionOrder;
    readonly offset: number;
    startedAtMs: number;
    isStartKnown: boolean;
    share: number;
    state: VersionOrderState;
    /** State that the log holds. */
    written: VersionOrderState | undefined;
}

/** Follows orders, divides calls between versions, and writes the states. */
export class VersionMoves {
    /** How calls go at each version. */
    readonly evidence = new VersionEvidence();
    private readonly moves = new Map<string, Move>();
    private statesReadAtMs = 0;

    /** @param settings See {@linkcode VersionMovesSettings}. */
    constructor(private readonly settings: VersionMovesSettings) {}

    /** Takes an order; `offset` is that of its record. */
    takeOrder(order: VersionOrder, offset: number): void {
        if ((this.moves.get(order.service)?.offset ?? -1) >= offset) {
            return;
        }
        this.moves.set(order.service, {
            order,
            offset,
            startedAtMs: this.settings.clock.now(),
            isStartKnown: false,
            share: 0,
            state: VersionOrderState.Running,
            written: undefined,
        });
        this.evidence.start(order.service, offset);
        this.settings.onChange("rollout: ordered", { ...order, offset });
    }

    /** Decides moves under way until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (await this.settings.clock.sleep(DECIDE_INTERVAL_MS, signal)) {
            for (const move of this.moves.values()) {
                if (!isSettled(move)) {
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
        const move = this.moves.get(service);
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
        const move = this.moves.get(service);
        if (move === undefined) {
            return servers;
        }
        const isTarget = move.share >= MAIN_SHARE;
        const main = servers.filter(({ server }) => (server.version === move.order.version) === isTarget);
        return main.length > 0 ? main : servers;
    }

    /** Counts a call that ended at a server. */
    recordCall(state: ServerState, isBad: boolean): void {
        const { service, version } = state.server;
        const move = this.moves.get(service);
        if (move !== undefined) {
            this.evidence.record(service, version === move.order.version, isBad);
        }
    }

    private async advance(move: Move): Promise<void> {
        const { clock, bounds, onChange } = this.settings;
        try {
            if (!move.isStartKnown) {
                await this.agreeOnStart(move);
            }
            await this.readStates();
            if (isSettled(move)) {
                return;
            }
            const { service, version, durationMs } = move.order;
            const evidence = this.evidence.sum(service, this.settings.peerCounts());
            const elapsedMs = clock.now() - move.startedAtMs;
            const decision = decideMove(evidence, { elapsedMs, durationMs }, bounds);
            if (decision.share !== move.share || decision.state !== move.state) {
                onChange("rollout: decided", { service, version, ...decision, elapsedMs: Math.round(elapsedMs), ...evidence });
            }
            move.share = decision.share;
            move.state = decision.state;
            if (move.written !== decision.state) {
                await this.writeState(move);
            }
        }
        catch (error) {
            onChange("rollout: log failed", { service: move.order.service, error: describeCause(error) });
        }
    }

    /** Takes the time at which the first node saw the order. */
    private async agreeOnStart(move: Move): Promise<void> {
        const { log } = this.settings;
        const page = await log.readNewest(START_TOPIC);
        const known = page.records.find(record => record.key === move.order.service);
        const start = known?.value === undefined ? undefined : readStart(known.value);
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
        if (clock.now() - this.statesReadAtMs < STATE_INTERVAL_MS) {
            return;
        }
        this.statesReadAtMs = clock.now();
        const page = await log.readNewest(records.stateTopic);
        for (const record of page.records) {
            this.takeState(records.readState(record));
        }
    }

    private takeState(record: MoveStateRecord | undefined): void {
        const move = record === undefined ? undefined : this.moves.get(record.service);
        if (record === undefined || move === undefined || move.order.version !== record.version) {
            return;
        }
        move.written = record.state;
        if (record.state !== VersionOrderState.Running && move.state !== record.state) {
            this.settings.onChange("rollout: settled by a peer", { ...record });
            move.state = record.state;
            move.share = record.state === VersionOrderState.Completed ? 1 : 0;
        }
    }

    /** Writes a state unless another node has written since; a final state is never replaced. */
    private async writeState(move: Move): Promise<void> {
        const { log, records, onChange } = this.settings;
        const page = await log.readNewest(records.stateTopic);
        for (const record of page.records) {
            this.takeState(records.readState(record));
        }
        if (move.written === move.state || isSettled(move)) {
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
        move.written = move.state;
        onChange("rollout: state written", { service, version, state: move.state });
    }
}

/** @returns Whether the log holds a final state. */
function isSettled(move: Move): boolean {
    return move.written === VersionOrderState.Completed || move.written === VersionOrderState.RolledBack;
}

function readStart(value: Uint8Array): { readonly offset?: unknown; readonly startedAtMs: number } | undefined {
    const start = JSON.parse(Buffer.from(value).toString("utf8")) as { offset?: unknown; startedAtMs?: unknown };
    return typeof start.startedAtMs === "number" ? { offset: start.offset, startedAtMs: start.startedAtMs } : undefined;
}
