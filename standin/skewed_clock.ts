/**
 * Clock that is wrong by a fixed time.
 *
 * @module
 */

import type { Clock } from "../src/state/mod.js";

/** Shows another time than the clock behind it, and waits by it. */
export class SkewedClock implements Clock {
    /**
     * @param clock Clock behind.
     * @param skewMs How far this clock is ahead, in milliseconds.
     */
    constructor(private readonly clock: Clock, private readonly skewMs: number) {}

    now(): number {
        return this.clock.now() + this.skewMs;
    }

    sleep(durationMs: number, signal?: AbortSignal): Promise<boolean> {
        return this.clock.sleep(durationMs, signal);
    }
}
