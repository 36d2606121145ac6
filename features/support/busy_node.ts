/**
 * Event loop that is busy, and clock and headers of a relay node whose event loop is busy while it sends calls.
 *
 * @module
 */

import { PlatformHeaders } from "../../platform/mod.js";
import type { AttemptHead, CallHead } from "../../src/protocol/relay/mod.js";
import { SystemClock } from "../../src/state/relay/mod.js";

/** Keeps the event loop busy for a time in milliseconds. */
export function holdUp(durationMs: number): void {
    const endMs = performance.now() + durationMs;
    while (performance.now() < endMs) {
        // Nothing else runs meanwhile.
    }
}

/** Clock whose time moves on by itself without running timers, as in a busy event loop. */
export class BusyClock extends SystemClock {
    private busyMs = 0;

    override now(): number {
        return super.now() + this.busyMs;
    }

    /** Moves the time on, in milliseconds. */
    stayBusy(durationMs: number): void {
        this.busyMs += durationMs;
    }
}

/** Headers whose serialization takes a long time, which starts after a call has got its slot. */
export class SlowHeaders extends PlatformHeaders {
    /**
     * @param clock Clock that the serialization moves on.
     * @param durationMs Time that it takes, in milliseconds.
     */
    constructor(private readonly clock: BusyClock, private readonly durationMs: number) {
        super();
    }

    override writeAttempt(head: CallHead, attempt: AttemptHead): string[] {
        this.clock.stayBusy(this.durationMs);
        return super.writeAttempt(head, attempt);
    }
}
