/**
 * Interface of the rollout stream to the code that controls rollouts.
 *
 * @module
 */

import type { NewRolloutRecord } from "../../protocol/mod.js";
import type { RolloutRecordOutcome, RolloutRegistry } from "./rollout_registry.js";

/** Reads the rollout stream and appends records to it. */
export abstract class RolloutJournal {
    /** Rollouts according to the records read so far. */
    abstract readonly registry: RolloutRegistry;

    /** Time of the log's last answer, in milliseconds since the Unix epoch; 0 before the first. */
    abstract readonly lastContactMs: number;

    /**
     * Appends a record, and repeats that until the record is read back. Copies with the same id take effect once.
     *
     * @param record Record with a unique id.
     * @param signal Stops the attempts when aborted.
     * @returns Outcome of the record, or `undefined` if the signal was aborted first.
     */
    abstract commit(record: NewRolloutRecord, signal: AbortSignal): Promise<RolloutRecordOutcome | undefined>;
}
