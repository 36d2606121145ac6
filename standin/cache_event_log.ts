/**
 * Log of an engine's prefix cache events, delivered with a lag and possibly with gaps.
 *
 * @module
 */

import type { CacheEventBatch } from "../src/protocol/mod.js";
import { type Clock, SeededRandom } from "../src/state/mod.js";
import type { CacheEvent } from "./prefix_cache.js";

/** Time until a recorded event becomes readable, in milliseconds. */
const EVENT_LAG_MS = 500;

/** Maximum number of retained events; the older half is dropped when it is exceeded. */
const MAX_EVENTS = 4_096;

/** Maximum number of events in one batch. */
const MAX_BATCH_EVENTS = 512;

/** Event with its timestamp and sequence number. */
interface SequencedEvent {
    readonly number: number;
    readonly atMs: number;
    readonly event: CacheEvent;
}

/** Retains the most recent events; tests can make it drop events at random. */
export class CacheEventLog {
    /** Probability that an event is dropped, from 0 to 1. */
    lossProbability = 0;
    private readonly random = new SeededRandom(1);
    private events: SequencedEvent[] = [];
    private count = 0;

    /** @param clock Clock that timestamps the events. */
    constructor(private readonly clock: Clock) {}

    /** Records an event, or drops it with {@linkcode lossProbability}; dropped events leave a gap in the numbers. */
    record(event: CacheEvent): void {
        this.count += 1;
        if (this.random.next() < this.lossProbability) {
            return;
        }
        this.events.push({ number: this.count, atMs: this.clock.now(), event });
        if (this.events.length > MAX_EVENTS) {
            this.events = this.events.slice(-MAX_EVENTS / 2);
        }
    }

    /** Returns the events after a sequence number that are older than the lag. */
    read(after: number): CacheEventBatch {
        const visibleAtMs = this.clock.now() - EVENT_LAG_MS;
        const batch = this.events.filter(({ number, atMs }) => number > after && atMs <= visibleAtMs).slice(0, MAX_BATCH_EVENTS);
        return { events: batch.map(({ event }) => event), next: batch.at(-1)?.number ?? after };
    }
}
