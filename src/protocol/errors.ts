/**
 * Errors that carry the step and the peer at which they arose.
 *
 * @module
 */

/** Whether a backend server can have run a request. */
export enum Executed {
    /** No byte of the request can have reached a backend server. */
    No = "no",
    /** The request may have run, wholly or in part. */
    Unknown = "unknown",
}

/** Step of a dispatch at which an error arose. */
export enum DispatchStep {
    Connect = "connect",
    AwaitHead = "awaitHead",
    AwaitFirstToken = "awaitFirstToken",
    ReadBody = "readBody",
}

/** How a backend server refused or failed, as far as the dispatcher must know. */
export enum DispatchFault {
    /** No connection came about. */
    Refused = "refused",
    /** The connection broke, or the answer was malformed. */
    Broken = "broken",
    /** The answer belonged to another request. */
    Mismatched = "crossed",
    /** The backend server answered with an error of its own. */
    ServerError = "serverError",
    /** The time ran out, or the caller went away. */
    Cancelled = "cancelled",
}

/** Settings of a {@linkcode DispatchError}. */
export interface DispatchErrorSettings {
    /** How the dispatch failed. */
    readonly fault: DispatchFault;
    /** Step at which the dispatch failed. */
    readonly step: DispatchStep;
    /** Backend server that was addressed. */
    readonly peer: string;
    /** Error underneath. */
    readonly cause?: unknown;
}

/** Dispatch that failed, with the step and the peer at which it did. */
export class DispatchError extends Error {
    override readonly name = "DispatchError";
    readonly fault: DispatchFault;
    readonly step: DispatchStep;
    readonly peer: string;

    /** @param settings Step, peer and cause, see {@linkcode DispatchErrorSettings}. */
    constructor(settings: DispatchErrorSettings) {
        super(`Cannot dispatch to ${settings.peer} at ${settings.step}: ${describeCause(settings.cause ?? settings.fault)}`, {
            cause: settings.cause,
        });
        this.fault = settings.fault;
        this.step = settings.step;
        this.peer = settings.peer;
    }

    /** Whether the backend server can have run the request. */
    get executed(): Executed {
        return executedAfter(this.step);
    }
}

/**
 * Decides whether a request can have run, given the step its dispatch reached.
 *
 * This is the only place where `Executed.No` is decided for a request that was dispatched. A connection that never came about
 * carried no byte; from the first write on, nothing is known.
 *
 * @param step Step at which the dispatch failed.
 */
export function executedAfter(step: DispatchStep): Executed {
    return step === DispatchStep.Connect ? Executed.No : Executed.Unknown;
}

/** Call of the platform that failed. */
export class PlatformError extends Error {
    override readonly name = "PlatformError";

    /**
     * @param step What was tried, such as `append to stream configuration`.
     * @param peer Platform service and its address.
     * @param executed Whether the call can have taken effect.
     * @param cause Error underneath.
     */
    constructor(readonly step: string, readonly peer: string, readonly executed: Executed, cause?: unknown) {
        super(`Cannot ${step} at ${peer}: ${describeCause(cause)}`, { cause });
    }
}

/**
 * Describes an error underneath in one line.
 *
 * @param cause Anything that was thrown.
 */
export function describeCause(cause: unknown): string {
    if (cause instanceof AggregateError && cause.errors.length > 0) {
        return describeCause(cause.errors[0]);
    }
    return cause instanceof Error ? cause.message : String(cause);
}
