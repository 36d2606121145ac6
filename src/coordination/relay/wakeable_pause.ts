/**
 * Pause of a background task that an event can end.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Pauses one task until a time has passed, an event wakes it, or it is stopped. */
export class WakeablePause {
    private current = new AbortController();

    /** @param clock Clock of the pauses. */
    constructor(private readonly clock: Clock) {}

    /** Ends the pause, if the task pauses. */
    wake(): void {
        this.current.abort();
    }

    /**
     * Pauses the task.
     *
     * @param durationMs Longest duration, in milliseconds.
     * @param signal Stops the task when aborted.
     * @returns Whether the task goes on.
     */
    async sleep(durationMs: number, signal: AbortSignal): Promise<boolean> {
        if (signal.aborted) {
            return false;
        }
        this.current = new AbortController();
        const wake = () => this.wake();
        signal.addEventListener("abort", wake, { once: true });
        await this.clock.sleep(durationMs, this.current.signal);
        signal.removeEventListener("abort", wake);
        return !signal.aborted;
    }
}
