/**
 * Hybrid logical clock, which orders events of several processes.
 *
 * After Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in Globally Distributed Databases" (2014), section 3.
 *
 * @module
 */

import type { Clock } from "./clock.js";

/** Time of an event: wall time first, then a counter within the same millisecond. */
export interface HybridTime {
    /** Milliseconds since the Unix epoch; a whole number. */
    readonly wallMs: number;
    /** Order within the millisecond. */
    readonly counter: number;
}

/**
 * Compares two times.
 *
 * @returns A negative number when `left` is earlier, a positive one when it is later, 0 when they are equal.
 */
export function compareHybridTimes(left: HybridTime, right: HybridTime): number {
    return left.wallMs - right.wallMs || left.counter - right.counter;
}

/** Clock that never gives a time before one it has given or seen. */
export class HybridClock {
    private last: HybridTime = { wallMs: 0, counter: 0 };

    /** @param clock Clock of the machine. */
    constructor(private readonly clock: Clock) {}

    /** Returns a time later than each one given or seen so far. */
    tick(): HybridTime {
        const wallMs = Math.floor(this.clock.now());
        this.last = wallMs > this.last.wallMs ?
            { wallMs, counter: 0 } :
            { wallMs: this.last.wallMs, counter: this.last.counter + 1 };
        return this.last;
    }

    /**
     * Takes over a time seen on a message of a peer.
     *
     * @param seen Time that the message carried.
     */
    observe(seen: HybridTime): void {
        if (compareHybridTimes(seen, this.last) > 0) {
            this.last = seen;
        }
    }
}
