/**
 * Pace of connections whose input comes in many small pieces.
 *
 * @module
 */

import type { Clock } from "../state/mod.js";

/** Pieces, such as chunks and events, that one connection may bring in {@linkcode WINDOW_MS} without being paced. */
const MAX_PIECES_PER_WINDOW = 512;

/** Time in which the pieces of a connection are counted, in milliseconds. */
const WINDOW_MS = 10;

/** Pieces a millisecond that all paced connections together may bring; each takes the event loop about a microsecond. */
const PACED_PIECES_PER_MS = 100;

/** Counts the pieces of one connection and pauses it. */
export abstract class PacedInput {
    private pieces = 0;
    private windowStartMs = 0;
    private isPaced = false;

    /** @param pacer Pacer of the node. */
    constructor(private readonly pacer: ReadPacer) {}

    /** Records pieces that were read. */
    record(pieces: number): void {
        this.pieces += pieces;
        if (this.pieces <= MAX_PIECES_PER_WINDOW || this.isPaced) {
            return;
        }
        const now = this.pacer.now();
        if (now >= this.windowStartMs + WINDOW_MS) {
            this.windowStartMs = now;
            this.pieces = 0;
            return;
        }
        this.isPaced = true;
        this.pause();
        void this.resumeLater();
    }

    /** Stops reading; bytes that were read already may still be recorded. */
    protected abstract pause(): void;

    /** Reads on. */
    protected abstract resume(): void;

    private async resumeLater(): Promise<void> {
        // The rest of what was read is recorded by then.
        await new Promise(resolve => setImmediate(resolve));
        await this.pacer.awaitShare(this.pieces);
        this.isPaced = false;
        this.pieces = 0;
        this.resume();
    }
}

/**
 * Shares the event loop between paced connections and all other work. A connection that brings many pieces at once is paused until the
 * pieces fit into a common rate, so that input without end slows down itself and other such connections only.
 */
export class ReadPacer {
    private freeAtMs = 0;

    /** @param clock Clock by which connections are paused. */
    constructor(private readonly clock: Clock) {}

    /** Current time, in milliseconds since the Unix epoch. */
    now(): number {
        return this.clock.now();
    }

    /** Waits until pieces that were read fit into the rate. */
    async awaitShare(pieces: number): Promise<void> {
        const now = this.clock.now();
        this.freeAtMs = Math.max(this.freeAtMs, now) + pieces / PACED_PIECES_PER_MS;
        await this.clock.sleep(this.freeAtMs - now);
    }
}
