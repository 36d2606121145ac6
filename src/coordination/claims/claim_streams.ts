/**
 * Claim streams that a node holds in memory.
 *
 * @module
 */

import type { LogService } from "../../protocol/mod.js";
import type { Clock } from "../../state/mod.js";
import { isDatedStream, UNDATED_STREAM_COUNT } from "./claim_key.js";
import { ClaimStream } from "./claim_stream.js";

/** Streams that a node holds; the one unused for longest is forgotten first and read again when it is asked for. */
export const MAX_STREAMS = 64;

/** Keys that a node holds over all streams; further ones are refused. */
export const MAX_KEYS = 300_000;

/** Least time between two appends of one stream that carry claims, in milliseconds. */
const CLAIM_INTERVAL_MS = 6;

/** Time after which an unused stream is forgotten, in milliseconds. */
const IDLE_TIMEOUT_MS = 180_000;

/** Settings of a {@linkcode ClaimStreams}. */
export interface ClaimStreamsSettings {
    readonly clock: Clock;
    readonly log: LogService;
}

/** Reads each stream when it is first asked for, and forgets those that are not used. */
export class ClaimStreams {
    private readonly streams = new Map<string, ClaimStream>();

    /** @param settings See {@linkcode ClaimStreamsSettings}. */
    constructor(private readonly settings: ClaimStreamsSettings) {}

    /** Number of streams held now. */
    get size(): number {
        return this.streams.size;
    }

    /** Number of keys held now, over all streams. */
    get keyCount(): number {
        let count = 0;
        for (const stream of this.streams.values()) {
            count += stream.index.size;
        }
        return count;
    }

    /** Returns a stream. */
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
            claimIntervalMs: claimIntervalOf(name),
            isFull: () => this.keyCount >= MAX_KEYS,
        });
        this.streams.set(name, stream);
        return stream;
    }

    private evictUnused(): void {
        const idleSinceMs = this.settings.clock.now() - IDLE_TIMEOUT_MS;
        for (const [name, stream] of this.streams) {
            const mayGo = this.streams.size >= MAX_STREAMS || stream.lastUsedAtMs < idleSinceMs;
            if (!mayGo) {
                return;
            }
            if (!stream.isBusy) {
                this.streams.delete(name);
            }
        }
    }
}

/** One dated stream at a time takes nearly all dated claims, but all undated streams are in use at once and share the appends. */
function claimIntervalOf(stream: string): number {
    return isDatedStream(stream) ? CLAIM_INTERVAL_MS : CLAIM_INTERVAL_MS * UNDATED_STREAM_COUNT;
}
