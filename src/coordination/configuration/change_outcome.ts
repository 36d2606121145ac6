/**
 * Outcomes of changes of the configuration.
 *
 * @module
 */

/** What became of a change. */
export enum ChangeOutcome {
    /** In the log, and in force on this node. */
    Accepted = "accepted",
    /** Wrong; it has no effect. */
    Invalid = "invalid",
    /** Another change came first; it has no effect. */
    Conflict = "conflict",
    /** The log has not shown in time whether it landed. */
    Unknown = "unknown",
}

/** Outcome of a record that was read back. */
export interface RecordOutcome {
    readonly outcome: ChangeOutcome.Accepted | ChangeOutcome.Invalid | ChangeOutcome.Conflict;
    /** Version that the record set, or the one in force when it was read. */
    readonly version: number;
    readonly problems: readonly string[];
}

/** Result of a change. */
export interface ChangeResult {
    readonly outcome: ChangeOutcome;
    /** Version set by the change, or the one in force. */
    readonly version: number;
    /** Reasons for which the change was not accepted, one sentence each. */
    readonly problems: readonly string[];
    /** For a conflict: what others changed since the version that the change was made against, one line each. */
    readonly others: readonly string[];
}
