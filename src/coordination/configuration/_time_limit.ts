/**
 * Time limits on calls that may never be answered.
 *
 * @module
 */

import type { Clock } from "../../state/mod.js";

/** Call that was given up. */
export class TimeLimitError extends Error {
    override readonly name = "TimeLimitError";

    /**
     * @param step Call, such as `read stream configuration`.
     * @param limitMs Time after which it was given up, in milliseconds.
     */
    constructor(readonly step: string, readonly limitMs: number) {
        super(`Cannot ${step}: no answer came within ${limitMs} ms`);
    }
}

/** Settings of {@linkcode withinTime}. */
export interface TimeLimit {
    readonly clock: Clock;
    /** Call, for the error. */
    readonly step: string;
    readonly limitMs: number;
    /** Gives the call up when aborted. */
    readonly signal: AbortSignal;
}

/**
 * Waits for a call, but not longer than a limit.
 *
 * @param call Call that was started; its answer is dropped when it comes late.
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
        // Whichever comes second is dropped, also when it fails.
        expiry.catch(() => undefined);
        call.catch(() => undefined);
        return await Promise.race([call, expiry]);
    }
    finally {
        signal.removeEventListener("abort", stop);
        settled.abort();
    }
}
