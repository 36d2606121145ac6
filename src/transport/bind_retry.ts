/**
 * Repetition of the binding of an address that is in use.
 *
 * @module
 */

import type { Clock } from "../state/mod.js";

/** Time between two attempts, in milliseconds. */
const RETRY_INTERVAL_MS = 100;

/** Codes of errors that end by themselves: another process lets the address go, or the machine gets it. */
const TRANSIENT_ERROR_CODES: ReadonlySet<string> = new Set([
    "EADDRINUSE",
    "EADDRNOTAVAIL",
    "EMFILE",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
]);

/** Settings of {@linkcode bindWithRetry}. */
export interface BindRetrySettings {
    readonly clock: Clock;
    /** Ends the attempts when aborted. */
    readonly signal: AbortSignal;
    /** Called with the error of the first attempt, if others follow. */
    readonly onWaiting: (error: Error) => void;
}

/**
 * Binds an address, and tries again while it cannot be bound for a reason that may end by itself: another program, an outgoing connection
 * that got the port, or the process that was here before.
 *
 * @param bind Makes one attempt.
 * @returns Whether the address is bound; otherwise the signal was aborted.
 * @throws {Error} If the address cannot be bound for another reason.
 */
export async function bindWithRetry(bind: () => Promise<void>, settings: BindRetrySettings): Promise<boolean> {
    const { clock, signal, onWaiting } = settings;
    for (let attempt = 1; !signal.aborted; attempt += 1) {
        try {
            await bind();
            return true;
        }
        catch (error) {
            if (!TRANSIENT_ERROR_CODES.has((error as NodeJS.ErrnoException).code ?? "")) {
                throw error;
            }
            if (attempt === 1) {
                onWaiting(error as Error);
            }
        }
        await clock.sleep(RETRY_INTERVAL_MS, signal);
    }
    return false;
}
