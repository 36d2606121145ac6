/**
 * Cache of the claim streams that a node uses.
 *
 * @module
 */

import type { LogService } from "../../protocol/mod.js";
import type { Clock, EventRing } from "../../state/mod.js";
import { isDatedStream, UNDATED_STREAM_COUNT } from "./claim_key.js";
import { ClaimStream } from "./claim_stream.js";

/** Maximum number of streams in memory; the least recently used one is evicted first and read again on its next use. */
export const MAX_STREAMS = 64;

/** Maximum number of keys in memory over all streams; further ones are refused. */
export const MAX_KEYS = 300_000;

/** Minimum time between two appends to a stream of dated keys while a caller waits for an entry, in milliseconds. */
const CLAIM_APPEND_INTERVAL_MS = 6;

/** Time after which an unused stream is evicted, in milliseconds. */
const IDLE_TIMEOUT_MS = 180_000;

/** Settings of a {@linkcode ClaimStreams}. */
export interface ClaimStreamsSettings {
    readonly clock: Clock;
    readonly ring: EventRing;
    readonly log: LogService;
}

/** Creates streams on first use and evicts those that are idle, in least recently used order. */
export class ClaimStreams {
    private readonly streams = new Map<string, ClaimStream>();

    /** @param settings See {@linkcode ClaimStreamsSettings}. */
    constructor(private readonly settings: ClaimStreamsSettings) {}

    /** Number of streams in memory. */
    get size(): number {
        return this.streams.size;
    }

    /** Number of keys in memory over all streams. */
    get keyCount(): number {
        let count = 0;
        for (const stream of this.streams.values()) {
            count += stream.index.size;
        }
        return count;
    }

    /** Returns the stream with a name and marks it as the most recently used. */
    open(name: string): ClaimStream {
        const known = this.streams.get(name);
        if (known !== undefined) {
            this.streams.delete(name);
            this.streams.set(name, known);
            return known;
        }
        this.evictUnused();
        const stream = new ClaimStream({
            ...this.settings,
            stream: name,
            claimAppendIntervalMs: claimAppendIntervalOf(name),
            isFull: () => this.keyCount >= MAX_KEYS,
        });
        this.streams.set(name, stream);
        return stream;
    }

    private evictUnused(): void {
        const idleSinceMs = this.settings.clock.now() - IDLE_TIMEOUT_MS;
        for (const [name, stream] of this.streams) {
            const isEvictable = this.streams.size >= MAX_STREAMS || stream.lastUsedAtMs < idleSinceMs;
            if (!isEvictable) {
                return;
            }
            if (!stream.isBusy) {
                this.streams.delete(name);
            }
        }
    }
}

/**
 * Returns the minimum time between two appends to a stream while a caller waits for an entry.
 *
 * Nearly all dated claims go to one stream at a time, while all undated streams are in use at once and share the append rate.
 */
function claimAppendIntervalOf(stream: string): number {
    return isDatedStream(stream) ? CLAIM_APPEND_INTERVAL_MS : CLAIM_APPEND_INTERVAL_MS * UNDATED_STREAM_COUNT;
}
