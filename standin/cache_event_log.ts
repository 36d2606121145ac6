/**
 * Cache events of an engine, which come late and with gaps.
 *
 * @module
 */

import type { CacheEventBatch } from "../src/protocol/mod.js";
import { type Clock, SeededRandom } from "../src/state/mod.js";
import type { CacheEvent } from "./prefix_cache.js";

/** Lag of cache events, in milliseconds. */
const EVENT_LAG_MS = 500;

/** Events kept; older ones are lost. */
const MAX_EVENTS = 4_096;

/** Events that one read gives at most. */
const MAX_BATCH_EVENTS = 512;

/** Event with its time and its number. */
interface SequencedEvent {
    readonly number: number;
    readonly atMs: number;
    readonly event: CacheEvent;
}

/** Keeps the last events, and loses some when a test wants it. */
export class CacheEventLog {
    /** Part of the events that is lost, from 0 to 1. */
    lossProbability = 0;
    private readonly random = new SeededRandom(1);
    private events: SequencedEvent[] = [];
    private count = 0;

    /** @param clock Clock that the lag is measured by. */
    constructor(private readonly clock: Clock) {}

    /** Records an event, or loses it. */
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

    /** Returns the events after a number that the lag lets through. */
    read(after: number): CacheEventBatch {
        const visibleAtMs = this.clock.now() - EVENT_LAG_MS;
        const fresh = this.events.filter(({ number, atMs }) => number > after && atMs <= visibleAtMs).slice(0, MAX_BATCH_EVENTS);
        return { events: fresh.map(({ event }) => event), next: fresh.at(-1)?.number ?? after };
    }
}
