/**
 * Calls that arrived in the last second.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Time over which calls are counted, in milliseconds. */
const WINDOW_MS = 1_000;

/** Parts of the window that are counted apart. */
const PARTS = 10;

/** Counts calls over a sliding second, in tenths. */
export class ArrivalRate {
    private readonly counts = new Array<number>(PARTS).fill(0);
    private lastPart = 0;

    /** @param clock Clock that moves the window. */
    constructor(private readonly clock: Clock) {}

    /** Counts a call. */
    record(): void {
        this.move();
        this.counts[this.lastPart % PARTS] += 1;
    }

    /** Calls in the last second. */
    get perSecond(): number {
        this.move();
        return this.counts.reduce((sum, count) => sum + count, 0);
    }

    private move(): void {
        const part = Math.floor(this.clock.now() * PARTS / WINDOW_MS);
        for (let passed = Math.max(this.lastPart + 1, part - PARTS + 1); passed <= part; passed += 1) {
            this.counts[passed % PARTS] = 0;
        }
        this.lastPart = Math.max(this.lastPart, part);
    }
}
