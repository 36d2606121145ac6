/**
 * Time limits for remote calls.
 *
 * @module
 */

import type { Clock } from "../../state/mod.js";

/** Thrown when a call did not complete within its time limit or was aborted. */
export class TimeLimitError extends Error {
    override readonly name = "TimeLimitError";

    /**
     * @param step Description of the call, such as `read stream configuration`.
     * @param limitMs Time limit of the call, in milliseconds.
     */
    constructor(readonly step: string, readonly limitMs: number) {
        super(`Cannot ${step}: no answer came within ${limitMs} ms`);
    }
}

/** Settings of {@linkcode withinTime}. */
export interface TimeLimit {
    readonly clock: Clock;
    /** Description of the call for the error message. */
    readonly step: string;
    readonly limitMs: number;
    /** Ends the wait when aborted. */
    readonly signal: AbortSignal;
}

/**
 * Waits for a call to complete within a time limit.
 *
 * @param call Call in progress; a result that arrives after the limit is discarded.
 * @param limit See {@linkcode TimeLimit}.
 * @throws {TimeLimitError} When the limit was reached or the signal was aborted.
 */
export async function withinTime<Value>(call: Promise<Value>, limit: TimeLimit): Promise<Value> {
    const { clock, step, limitMs, signal } = limit;
    const settled = new AbortController();
    const stop = () => settled.abort();
    signal.addEventListener("abort", stop, { once: true });
    try {
        const expiry = clock.sleep(limitMs, settled.signal).then((): Value => {
            throw new TimeLimitError(step, limitMs);
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
