/**
 * Sliding-window counter of call arrivals.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Length of the sliding window, in milliseconds. */
const WINDOW_MS = 1_000;

/** Buckets into which the window is divided. */
const BUCKET_COUNT = 10;

/** Counts calls over a sliding window of one second in buckets of a tenth of a second. */
export class ArrivalRate {
    private readonly counts = new Array<number>(BUCKET_COUNT).fill(0);
    private lastBucket = 0;

    /** @param clock Time source of the window. */
    constructor(private readonly clock: Clock) {}

    /** Counts a call. */
    record(): void {
        this.advanceWindow();
        this.counts[this.lastBucket % BUCKET_COUNT] += 1;
    }

    /** Calls that arrived in the last second. */
    get perSecond(): number {
        this.advanceWindow();
        return this.counts.reduce((sum, count) => sum + count, 0);
    }

    private advanceWindow(): void {
        const bucket = Math.floor(this.clock.now() * BUCKET_COUNT / WINDOW_MS);
        for (let expired = Math.max(this.lastBucket + 1, bucket - BUCKET_COUNT + 1); expired <= bucket; expired += 1) {
            this.counts[expired % BUCKET_COUNT] = 0;
        }
        this.lastBucket = Math.max(this.lastBucket, bucket);
    }
}
