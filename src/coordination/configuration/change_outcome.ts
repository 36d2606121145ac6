/**
 * Outcomes of proposed configuration changes.
 *
 * @module
 */

/** Outcome of a proposed change. */
export enum ChangeOutcome {
    /** The change is committed to the log and applied on this node. */
    Accepted = "accepted",
    /** The change is not valid and has no effect. */
    Invalid = "invalid",
    /** The change was based on a version that is not current, and has no effect. */
    Conflict = "conflict",
    /** The change could not be read back from the log in time. */
    Unknown = "unknown",
}

/** Outcome of a proposed change, as determined by its record in the log. */
export interface RecordOutcome {
    readonly outcome: ChangeOutcome.Accepted | ChangeOutcome.Invalid | ChangeOutcome.Conflict;
    /** Version created by the record, or the one in force when the record was read. */
    readonly version: number;
    readonly problems: readonly string[];
}

/** Result of a proposed change. */
export interface ChangeResult {
    readonly outcome: ChangeOutcome;
    /** Version created by the change, or the one in force. */
    readonly version: number;
    /** Reasons for which the change was not accepted, one sentence each. */
    readonly problems: readonly string[];
    /** For a conflict: the changes since the version that the proposal is based on, one line per item. */
    readonly others: readonly string[];
}
