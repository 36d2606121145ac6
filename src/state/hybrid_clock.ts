/**
 * Hybrid logical clock, which orders the events of several processes.
 *
 * See Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in Globally Distributed Databases" (2014), section 3.
 *
 * @module
 */

import type { Clock } from "./clock.js";

/** Hybrid logical timestamp: wall time and a counter that orders events within the same millisecond. */
export interface HybridTime {
    /** Wall time in milliseconds since the Unix epoch; an integer. */
    readonly wallMs: number;
    /** Logical counter within the millisecond. */
    readonly counter: number;
}

/**
 * Compares two timestamps.
 *
 * @returns A negative number when `left` is earlier, a positive one when it is later, 0 when they are equal.
 */
export function compareHybridTimes(left: HybridTime, right: HybridTime): number {
    return left.wallMs - right.wallMs || left.counter - right.counter;
}

/** Clock whose timestamps are always later than every timestamp it has issued or observed. */
export class HybridClock {
    private last: HybridTime = { wallMs: 0, counter: 0 };

    /** @param clock Source of the wall time. */
    constructor(private readonly clock: Clock) {}

    /** Returns a new timestamp, later than all issued or observed so far. */
    tick(): HybridTime {
        const wallMs = Math.floor(this.clock.now());
        this.last = wallMs > this.last.wallMs ?
            { wallMs, counter: 0 } :
            { wallMs: this.last.wallMs, counter: this.last.counter + 1 };
        return this.last;
    }

    /**
     * Advances the clock to the timestamp of a message from a peer, if that is later.
     *
     * @param seen Timestamp carried by the message.
     */
    observe(seen: HybridTime): void {
        if (compareHybridTimes(seen, this.last) > 0) {
            this.last = seen;
        }
    }
}
