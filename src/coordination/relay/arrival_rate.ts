/**
 * Calls that arrived in the last second.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Time over which calls are counted, in milliseconds. */
const WINDOW_MS = 1_000;

/** Parts of the window that are counted apart. */
const BUCKET_COUNT = 10;

/** Counts calls over a sliding second, in tenths. */
export class ArrivalRate {
    private readonly counts = new Array<number>(BUCKET_COUNT).fill(0);
    private lastBucket = 0;

    /** @param clock Clock that moves the window. */
    constructor(private readonly clock: Clock) {}

    /** Counts a call. */
    record(): void {
        this.advanceWindow();
        this.counts[this.lastBucket % BUCKET_COUNT] += 1;
    }

    /** Calls in the last second. */
    get perSecond(): number {
        this.advanceWindow();
        return this.counts.reduce((sum, count) => sum + count, 0);
    }

    private advanceWindow(): void {
        const part = Math.floor(this.clock.now() * BUCKET_COUNT / WINDOW_MS);
        for (let passed = Math.max(this.lastBucket + 1, part - BUCKET_COUNT + 1); passed <= part; passed += 1) {
            this.counts[passed % BUCKET_COUNT] = 0;
        }
        this.lastBucket = Math.max(this.lastBucket, part);
    }
}
