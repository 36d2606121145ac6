/**
 * The rollout stream as the decisions on rollouts use it.
 *
 * @module
 */

import type { NewRolloutRecord } from "../../protocol/mod.js";
import type { RolloutRecordOutcome, RolloutRegistry } from "./rollout_registry.js";

/** Reads and extends the rollout stream. */
export abstract class RolloutJournal {
    /** Rollouts as far as the stream was read. */
    abstract readonly registry: RolloutRegistry;

    /** Time of the last answer of the log, in milliseconds since the Unix epoch; 0 before the first. */
    abstract readonly lastContactMs: number;

    /**
     * Appends a record until it is read back, also when answers are lost; a record of the same id takes effect once.
     *
     * @param record Record with an id of its own.
     * @param signal Ends the attempts when aborted.
     * @returns What became of the record, or `undefined` when the signal ended the attempts.
     */
    abstract commit(record: NewRolloutRecord, signal: AbortSignal): Promise<RolloutRecordOutcome | undefined>;
}
