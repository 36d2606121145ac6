/**
 * Timeouts for remote calls.
 *
 * @module
 */

import type { Clock } from "../../state/mod.js";

/** Thrown when the wait for a call was aborted. */
export class AbortedError extends Error {
    override readonly name = "AbortedError";

    /** @param step Description of the call, such as `read stream configuration`. */
    constructor(readonly step: string) {
        super(`Cannot ${step}: the wait was aborted`);
    }
}

/** Thrown when a call did not complete within its timeout. */
export class TimeoutError extends Error {
    override readonly name = "TimeoutError";

    /**
     * @param step Description of the call, such as `read stream configuration`.
     * @param timeoutMs Timeout of the call, in milliseconds.
     */
    constructor(readonly step: string, readonly timeoutMs: number) {
        super(`Cannot ${step}: no answer came within ${timeoutMs} ms`);
    }
}

/** Settings of {@linkcode withTimeout}. */
export interface TimeoutSettings {
    readonly clock: Clock;
    /** Description of the call for the error message. */
    readonly step: string;
    readonly timeoutMs: number;
    /** Ends the wait when aborted. */
    readonly signal: AbortSignal;
}

/**
 * Waits for a call to complete within a timeout.
 *
 * @param call Call in progress; a result that arrives after the timeout is discarded.
 * @param settings See {@linkcode TimeoutSettings}.
 * @throws {TimeoutError} When the timeout has elapsed.
 * @throws {AbortedError} When the signal was aborted, also before the call.
 */
export async function withTimeout<Value>(call: Promise<Value>, settings: TimeoutSettings): Promise<Value> {
    const { clock, step, timeoutMs, signal } = settings;
    if (signal.aborted) {
        call.catch(() => undefined);
        throw new AbortedError(step);
    }
    const settled = new AbortController();
    const stop = () => settled.abort();
    signal.addEventListener("abort", stop, { once: true });
    try {
        const expiry = clock.sleep(timeoutMs, settled.signal).then((hasElapsed): Value => {
            throw hasElapsed ? new TimeoutError(step, timeoutMs) : new AbortedError(step);
        });
        // The promise that loses the race is ignored; the handlers prevent an unhandled rejection.
        expiry.catch(() => undefined);
        call.catch(() => undefined);
        return await Promise.race([call, expiry]);
    }
    finally {
        signal.removeEventListener("abort", stop);
        settled.abort();
    }
}
