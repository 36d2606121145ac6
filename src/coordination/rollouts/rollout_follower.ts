/**
 * Reads and appends the rollout stream of the platform's log.
 *
 * @module
 */

import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import {
    decodeRolloutRecord,
    encodeRolloutRecord,
    type LogRecord,
    type LogService,
    type NewRolloutRecord,
    ROLLOUT_STREAM,
    type RolloutRecord,
    RolloutRecordKind,
} from "../../protocol/mod.js";
import { type Clock, type EventRing, Part } from "../../state/mod.js";
import { withTimeout } from "../configuration/mod.js";
import { RolloutJournal } from "./rollout_journal.js";
import { type Rollout, type RolloutRecordOutcome, RolloutRegistry } from "./rollout_registry.js";

/** Time that a read waits for new records, in milliseconds. */
const READ_WAIT_MS = 1_500;

/** Timeouts of a read and of an append, in milliseconds. */
const READ_TIMEOUT_MS = READ_WAIT_MS + 10_000;
const APPEND_TIMEOUT_MS = 5_000;

/** Delay before retrying a failed log operation, in milliseconds. */
const RETRY_DELAY_MS = 500;

/** Interval at which the outcome of an appended record is polled, in milliseconds. */
const OUTCOME_POLL_MS = 20;

/** Maximum time to wait for an appended record to be read back before it is appended again, in milliseconds. */
const READ_BACK_TIMEOUT_MS = 5_000;

/** Record that took effect, with the resulting rollout. */
export interface AppliedRecord {
    readonly offset: number;
    readonly record: RolloutRecord;
    readonly rollout: Rollout | undefined;
}

/** Settings of a {@linkcode RolloutFollower}. */
export interface RolloutFollowerSettings {
    readonly clock: Clock;
    readonly ring: EventRing;
    readonly log: LogService;
}

/** Reads the rollout stream in the order of the log. */
export class RolloutFollower extends RolloutJournal {
    override readonly registry = new RolloutRegistry();
    override lastContactMs = 0;
    /** Emits each record that takes effect. */
    readonly applied: Stream<AppliedRecord>;
    private readonly publish: (applied: AppliedRecord) => void;
    private nextOffset = 0;

    /** @param settings See {@linkcode RolloutFollowerSettings}. */
    constructor(private readonly settings: RolloutFollowerSettings) {
        super();
        [this.publish, this.applied] = createAdapter<AppliedRecord>();
    }

    /** Follows the stream until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { log, clock } = this.settings;
        while (!signal.aborted) {
            try {
                const read = log.read(ROLLOUT_STREAM, this.nextOffset, { waitMs: READ_WAIT_MS });
                const step = `read stream ${ROLLOUT_STREAM}`;
                const page = await withTimeout(read, { clock, signal, step, timeoutMs: READ_TIMEOUT_MS });
                this.lastContactMs = clock.now();
                for (const record of page.records) {
                    this.applyRecord(record);
                }
            }
            catch (error) {
                this.recordEvent("readFailed", `${(error as Error).message}.`);
                await clock.sleep(RETRY_DELAY_MS, signal);
            }
        }
    }

    override async commit(record: NewRolloutRecord, signal: AbortSignal): Promise<RolloutRecordOutcome | undefined> {
        const { clock, log } = this.settings;
        while (!signal.aborted) {
            try {
                const append = log.append(ROLLOUT_STREAM, encodeRolloutRecord(record));
                const step = `append to stream ${ROLLOUT_STREAM}`;
                await withTimeout(append, { clock, signal, step, timeoutMs: APPEND_TIMEOUT_MS });
            }
            catch (error) {
                // The record may have been appended anyway; its id keeps a second copy from taking effect.
                this.recordEvent("appendFailed", `${(error as Error).message}.`);
            }
            const outcome = await this.awaitOutcome(record.id, signal);
            if (outcome !== undefined) {
                return outcome;
            }
            await clock.sleep(RETRY_DELAY_MS, signal);
        }
        return undefined;
    }

    private async awaitOutcome(recordId: string, signal: AbortSignal): Promise<RolloutRecordOutcome | undefined> {
        const { clock } = this.settings;
        const timeoutAtMs = clock.now() + READ_BACK_TIMEOUT_MS;
        while (clock.now() < timeoutAtMs && !signal.aborted) {
            const outcome = this.registry.outcome(recordId);
            if (outcome !== undefined) {
                return outcome;
            }
            await clock.sleep(OUTCOME_POLL_MS, signal);
        }
        return undefined;
    }

    private applyRecord({ offset, data }: LogRecord): void {
        this.nextOffset = offset + 1;
        const record = decodeRolloutRecord(data);
        if (record === undefined) {
            this.recordEvent("skipped", `Record ${offset} is malformed or of a later format and was skipped.`);
            return;
        }
        const outcome = this.registry.apply(offset, record);
        if (outcome.kind === "refused") {
            this.recordEvent("conflict", `Record ${offset} by ${record.author} has no effect: ${outcome.problem}`);
        }
        if (outcome.kind === "applied") {
            const { rollout } = outcome;
            this.recordEvent(record.kind, describe(record, rollout));
            this.publish({ offset, record, rollout });
        }
    }

    private recordEvent(kind: string, text: string): void {
        this.settings.ring.record({ part: Part.Rollout, kind, text });
    }
}

function describe(record: RolloutRecord, rollout: Rollout | undefined): string {
    if (record.kind === RolloutRecordKind.EventDelivered) {
        return `Event ${record.eventId} was delivered to a webhook receiver.`;
    }
    if (rollout === undefined) {
        return "The active and forbidden versions of all pools were recorded again.";
    }
    const subject = `Rollout ${rollout.id} of pool ${rollout.pool} to version ${rollout.version}`;
    switch (record.kind) {
        case RolloutRecordKind.Started:
            return `${subject} was started by ${record.author}.`;
        case RolloutRecordKind.Paused:
            return `${subject} was paused by ${record.author}: ${record.reason}.`;
        case RolloutRecordKind.Resumed:
            return `${subject} was resumed by ${record.author}.`;
        case RolloutRecordKind.RolledBack:
            return `${subject} was rolled back by ${record.author}: ${record.reason}.`;
        case RolloutRecordKind.Done:
            return `${subject} is done: ${record.evidence}.`;
        case RolloutRecordKind.Late:
            return `${subject} cannot meet its deadline: ${record.reason}.`;
        case RolloutRecordKind.Standing:
            return subject;
    }
}
