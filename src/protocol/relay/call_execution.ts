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

/** Attempt that is under way. */
export interface StartedAttempt<Answer> {
    readonly answer: Answer;
    readonly endAttempt: EndAttempt;
}

/** Attempt at a call whose caller was promised that it has not run and will not run. */
export class PromisedNotRunError extends Error {
    override readonly name = "PromisedNotRunError";

    /** @param receiver Backend server or peer of the attempt. */
    constructor(receiver: string) {
        super(`Cannot send the call to ${receiver}: its caller was promised that it will not run`);
    }
}

/**
 * Attempts of one call, and the promise that it has not run and will not run. Either a receiver may have run the call, or the promise may
 * be given; once it is given, no attempt begins.
 */
export class CallExecution {
    private readonly records: { receiver: string; end: AttemptEnd }[] = [];
    private isPromisedNotRun = false;

    /** Attempts, in the order of their begin. */
    get attempts(): readonly AttemptRecord[] {
        return this.records;
    }

    /** Whether a receiver may have run the call, or may still run it. */
    get mayHaveRun(): boolean {
        return this.records.some(({ end }) => end === AttemptEnd.Unknown);
    }

    /**
     * Promises that the call has not run and will not run, unless it may have run.
     *
     * @returns Whether the promise is given.
     */
    tryPromiseNotRun(): boolean {
        this.isPromisedNotRun ||= !this.mayHaveRun;
        return this.isPromisedNotRun;
    }

    /**
     * Hands the call to a client that may write it. A client that throws has written nothing.
     *
     * @param receiver Backend server or peer.
     * @param send Hands the call over.
     * @throws {PromisedNotRunError} If the promise was given; then nothing is handed over.
     */
    attempt<Answer>(receiver: string, send: () => Answer): StartedAttempt<Answer> {
        if (this.isPromisedNotRun) {
            throw new PromisedNotRunError(receiver);
        }
        const record = { receiver, end: AttemptEnd.Unknown };
        const endAttempt: EndAttempt = end => {
            record.end = end;
        };
        this.records.push(record);
        try {
            return { answer: send(), endAttempt };
        }
        catch (error) {
            endAttempt(AttemptEnd.Unsent);
            throw error;
        }
    }
}
