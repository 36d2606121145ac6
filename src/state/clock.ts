/**
 * Clock abstraction, injected so that tests can control time.
 *
 * @module
 */

import { afterArrivedInput } from "./arrived_input.js";

/** Source of the current time and of delays. */
export interface Clock {
    /** Returns the current time in milliseconds since the Unix epoch. Never decreases within a process. */
    now(): number;

    /**
     * Waits for a duration. What arrives on sockets before its end is read first, so that its receiver may still cancel the wait.
     *
     * @param durationMs Time to wait, in milliseconds.
     * @param signal Cancels the wait when aborted.
     * @returns `true` after the full duration, `false` when the signal cancelled the wait.
     */
    sleep(durationMs: number, signal?: AbortSignal): Promise<boolean>;
}

/** Time by which a timer fires late from which the event loop counts as held up, in milliseconds. */
const MIN_HOLD_UP_MS = 20;

/** System clock, made monotonic by measuring from the start of the process. */
export class SystemClock implements Clock {
    private isHeldUp = false;

    /**
     * @param onHeldUp Called when timers fire late, with the delay of the first one in milliseconds. The event loop was held up for at
     * least this time.
     */
    constructor(private readonly onHeldUp: (delayMs: number) => void = () => undefined) {}

    now(): number {
        return performance.timeOrigin + performance.now();
    }

    sleep(durationMs: number, signal?: AbortSignal): Promise<boolean> {
        if (signal?.aborted) {
            return Promise.resolve(false);
        }
        return new Promise(resolve => {
            const onAbort = () => {
                clearTimeout(timer);
                resolve(false);
            };
            const endMs = this.now() + durationMs;
            const onTimer = () => {
                const remainingMs = endMs - this.now();
                if (remainingMs > 0) {
                    timer = setTimeout(onTimer, toTimerMs(remainingMs));
                    return;
                }
                this.reportHoldUp(-remainingMs);
                afterArrivedInput(() => {
                    signal?.removeEventListener("abort", onAbort);
                    resolve(true);
                });
            };
            let timer = setTimeout(onTimer, toTimerMs(durationMs));
            signal?.addEventListener("abort", onAbort, { once: true });
        });
    }

    private reportHoldUp(delayMs: number): void {
        if (delayMs < MIN_HOLD_UP_MS || this.isHeldUp) {
            return;
        }
        // The timers that are due by now fire before this, each with a shorter delay.
        this.isHeldUp = true;
        setImmediate(() => this.isHeldUp = false);
        this.onHeldUp(delayMs);
    }
}

/** Longest time for which a timer can be set, in milliseconds; with a longer one, it fires at once. */
const MAX_TIMER_MS = 2_147_483_647;

/**
 * Timers count whole milliseconds from the start of the event loop's iteration, so one for the exact duration mostly fires early and
 * has to be set again.
 */
function toTimerMs(durationMs: number): number {
    return Math.min(MAX_TIMER_MS, Math.ceil(durationMs) + 1);
}
