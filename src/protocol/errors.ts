/**
 * Errors that state the step and the peer at which they occurred.
 *
 * @module
 */

/** Whether a request or a platform call may have been executed. */
export enum Executed {
    /** The request was not executed: no byte of it can have reached a backend server. */
    No = "no",
    /** The request may have been executed, completely or in part. */
    Unknown = "unknown",
}

/** Steps of a dispatch at which an error can occur. */
export enum DispatchStep {
    Connect = "connect",
    AwaitHead = "awaitHead",
    AwaitFirstToken = "awaitFirstToken",
    ReadBody = "readBody",
}

/** Classes of dispatch failures that the dispatcher distinguishes. */
export enum DispatchFault {
    /** No connection could be established. */
    Refused = "refused",
    /** The connection was lost, or the answer was malformed. */
    Broken = "broken",
    /** The answer belongs to another request. */
    Mismatched = "crossed",
    /** The backend server answered with an error. */
    ServerError = "serverError",
    /** The deadline passed, or the caller disconnected. */
    Cancelled = "cancelled",
}

/** Settings of a {@linkcode DispatchError}. */
export interface DispatchErrorSettings {
    /** Class of the failure. */
    readonly fault: DispatchFault;
    /** Step at which the dispatch failed. */
    readonly step: DispatchStep;
    /** Backend server that was addressed. */
    readonly peer: string;
    /** Underlying error. */
    readonly cause?: unknown;
}

/** Failure of a dispatch, with its step and peer. */
export class DispatchError extends Error {
    override readonly name = "DispatchError";
    readonly fault: DispatchFault;
    readonly step: DispatchStep;
    readonly peer: string;

    /** @param settings Fault, step, peer and cause; see {@linkcode DispatchErrorSettings}. */
    constructor(settings: DispatchErrorSettings) {
        super(`Cannot dispatch to ${settings.peer} at ${settings.step}: ${describeCause(settings.cause ?? settings.fault)}`, {
            cause: settings.cause,
        });
        this.fault = settings.fault;
        this.step = settings.step;
        this.peer = settings.peer;
    }

    /** Whether the backend server may have executed the request. */
    get executed(): Executed {
        return executedAfter(this.step);
    }
}

/**
 * Determines whether a request may have been executed, given the step at which its dispatch failed.
 *
 * This is the only place that decides `Executed.No` for a dispatched request. Without a connection no byte was sent; from the first
 * write on, the request may have been executed.
 *
 * @param step Step at which the dispatch failed.
 */
export function executedAfter(step: DispatchStep): Executed {
    return step === DispatchStep.Connect ? Executed.No : Executed.Unknown;
}

/** Failure of a call to a platform service. */
export class PlatformError extends Error {
    override readonly name = "PlatformError";

    /**
     * @param step Operation that failed, such as `append to stream configuration`.
     * @param peer Platform service and its address.
     * @param executed Whether the call may have taken effect.
     * @param cause Underlying error.
     */
    constructor(readonly step: string, readonly peer: string, readonly executed: Executed, cause?: unknown) {
        super(`Cannot ${step} at ${peer}: ${describeCause(cause)}`, { cause });
    }
}

/**
 * Describes the cause of an error in one line; of an `AggregateError`, the first error.
 *
 * @param cause Thrown value.
 */
export function describeCause(cause: unknown): string {
    if (cause instanceof AggregateError && cause.errors.length > 0) {
        return describeCause(cause.errors[0]);
    }
    return cause instanceof Error ? cause.message : String(cause);
}
