/**
 * Clock with a constant skew.
 *
 * @module
 */

import type { Clock } from "../src/state/mod.js";

/** Clock that is offset from an underlying clock, which times its sleeps. */
export class SkewedClock implements Clock {
    /**
     * @param clock Underlying clock.
     * @param skewMs Clock skew in milliseconds, positive when this clock is ahead.
     */
    constructor(private readonly clock: Clock, private readonly skewMs: number) {}

    now(): number {
        return this.clock.now() + this.skewMs;
    }

    sleep(durationMs: number, signal?: AbortSignal): Promise<boolean> {
        return this.clock.sleep(durationMs, signal);
    }
}
