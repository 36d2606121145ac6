/**
 * Records of rollouts in the platform's log: their starts and their states.
 *
 * @module
 */

import { z } from "zod";
import { AppendConflictError, type KeyedLog, type KeyedRecord } from "../../protocol/relay/mod.js";
import { type Clock, VersionOrderState } from "../../state/relay/mod.js";
import { hasStoredFinalState, type VersionRollout } from "./version_rollout.js";

/** Topic with the start time of each rollout, from which nodes that start later derive its deadline. */
const START_TOPIC = "keyed.moves";

/** Minimum interval between reads of the rollout states from the log, in milliseconds. */
const STATE_READ_INTERVAL_MS = 750;

/** Era of records that do not state one. */
const DEFAULT_ERA = 0;

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

/** Settings of {@linkcode RolloutLog}. */
export interface RolloutLogSettings {
    readonly clock: Clock;
    readonly log: KeyedLog;
    readonly records: RolloutRecordFormat;
    /** Rollouts by service. */
    readonly rollouts: ReadonlyMap<string, VersionRollout>;
    /** Called when the log holds a final state that the rollout does not have. */
    readonly onSettled: (rollout: VersionRollout, state: VersionOrderState) => void;
    /** Called when this node has written a state. */
    readonly onWritten: (rollout: VersionRollout) => void;
    /** Called when a record that was missing after a restore of the log has been written again. */
    readonly onRewrite: (topic: string) => void;
}

/** Agrees with the other nodes on starts and states through the log. */
export class RolloutLog {
    private statesReadAtMs = 0;

    /** @param settings See {@linkcode RolloutLogSettings}. */
    constructor(private readonly settings: RolloutLogSettings) {}

    /** Reads the states at the next access, whenever they were read last. */
    expireStates(): void {
        this.statesReadAtMs = 0;
    }

    /**
     * Agrees on the start of a rollout, and reads and writes its state.
     *
     * @throws {PlatformError} When the log does not answer.
     */
    async synchronize(rollout: VersionRollout): Promise<void> {
        if (!rollout.isStartKnown) {
            await this.agreeOnStart(rollout);
        }
        await this.readStates();
        if (!hasStoredFinalState(rollout) && rollout.isStateKnown && rollout.storedState !== rollout.state) {
            await this.writeState(rollout);
        }
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
        const known = [...this.settings.rollouts.values()];
        const page = await log.readNewest(records.stateTopic);
        for (const record of page.records) {
            this.applyState(records.decodeState(record));
        }
        for (const rollout of known) {
            rollout.isStateKnown = true;
        }
    }

    private applyState(record: RolloutStateRecord | undefined): void {
        const rollout = record === undefined ? undefined : this.settings.rollouts.get(record.service);
        if (record === undefined || rollout === undefined || rollout.order.version !== record.version) {
            return;
        }
        rollout.storedState = record.state;
        if (record.state !== VersionOrderState.Running && rollout.state !== record.state) {
            this.settings.onSettled(rollout, record.state);
        }
    }

    /** Writes the state unless the topic has changed since it was read; a final state is never overwritten. */
    private async writeState(rollout: VersionRollout): Promise<void> {
        const { log, records } = this.settings;
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
        this.settings.onWritten(rollout);
    }
}

/** Recorded start of a rollout. */
interface RolloutStart {
    readonly offset: unknown;
    readonly era: unknown;
    readonly startedAtMs: number;
}

const startSchema = z.object({ offset: z.unknown(), era: z.unknown().optional(), startedAtMs: z.number().min(0) });

/** @returns `undefined` if the start cannot be read; it is then written again. */
function parseStart(value: Uint8Array): RolloutStart | undefined {
    try {
        const { offset, era, startedAtMs } = startSchema.parse(JSON.parse(Buffer.from(value).toString("utf8")));
        return { offset, era: era ?? DEFAULT_ERA, startedAtMs };
    }
    catch {
        return undefined;
    }
}
