/**
 * What a node knows of whether a call has run.
 *
 * @module
 */

/** How an attempt at a receiver ended, as far as its node knows. */
export enum AttemptEnd {
    /** The attempt is under way, or has ended without a statement; the receiver may have run the call. */
    Unknown = "unknown",
    /** No byte of the call was written, and none will be. */
    Unsent = "unsent",
    /** The receiver states that it has not run the call. */
    Refused = "refused",
}

/** What is known of one attempt. */
export interface AttemptRecord {
    /** Backend server or peer. */
    readonly receiver: string;
    readonly end: AttemptEnd;
}

/** Records that an attempt has ended, and how its node knows that the receiver has not run the call. */
export type EndAttempt = (end: AttemptEnd.Unsent | AttemptEnd.Refused) => void;

/** Attempts of one call. */
export class CallExecution {
    private readonly records: { receiver: string; end: AttemptEnd }[] = [];

    /** Attempts, in the order of their begin. */
    get attempts(): readonly AttemptRecord[] {
        return this.records;
    }

    /** Whether a receiver may have run the call, or may still run it. */
    get mayHaveRun(): boolean {
        return this.records.some(({ end }) => end === AttemptEnd.Unknown);
    }

    /** Records that the call is about to be handed to a client that may write it. */
    beginAttempt(receiver: string): EndAttempt {
        const record = { receiver, end: AttemptEnd.Unknown };
        this.records.push(record);
        return end => {
            record.end = end;
        };
    }
}
