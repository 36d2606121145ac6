/**
 * Pace of connections whose input comes in many small pieces.
 *
 * @module
 */

import type { Clock } from "../state/mod.js";

/** Pieces, such as chunks and events, that one connection may bring in a turn of the event loop without being paced. */
const MAX_PIECES_PER_TURN = 512;

/** Pieces a millisecond that all paced connections together may bring; each takes the event loop about a microsecond. */
const PACED_PIECES_PER_MS = 100;

/** Counts the pieces of one connection and pauses it. */
export abstract class PacedInput {
    private turn = -1;
    private pieces = 0;
    private isPaced = false;

    /** @param pacer Pacer of the node. */
    constructor(private readonly pacer: ReadPacer) {}

    /** Records pieces that were read. */
    record(pieces: number): void {
        const { currentTurn } = this.pacer;
        if (!this.isPaced && this.turn !== currentTurn) {
            this.turn = currentTurn;
            this.pieces = 0;
        }
        this.pieces += pieces;
        if (this.pieces > MAX_PIECES_PER_TURN && !this.isPaced) {
            this.isPaced = true;
            this.pause();
            void this.resumeLater();
        }
    }

    /** Stops reading; bytes that were read already may still be recorded. */
    protected abstract pause(): void;

    /** Reads on. */
    protected abstract resume(): void;

    private async resumeLater(): Promise<void> {
        await new Promise(resolve => setImmediate(resolve));
        await this.pacer.awaitShare(this.pieces);
        this.isPaced = false;
        this.pieces = 0;
        this.resume();
    }
}

/**
 * Shares the event loop between paced connections and all other work. A connection that brings many pieces in one turn is paused until
 * the pieces fit into a common rate, so that input without end slows down itself and other such connections only.
 */
export class ReadPacer {
    private turn = 0;
    private isTurnEndAwaited = false;
    private freeAtMs = 0;

    /** @param clock Clock by which connections are paused. */
    constructor(private readonly clock: Clock) {}

    /** Number of the turn of the event loop, among those in which it was asked for. */
    get currentTurn(): number {
        if (!this.isTurnEndAwaited) {
            this.isTurnEndAwaited = true;
            setImmediate(() => {
                this.isTurnEndAwaited = false;
                this.turn += 1;
            });
        }
        return this.turn;
    }

    /** Waits until pieces that were read fit into the rate. */
    async awaitShare(pieces: number): Promise<void> {
        const now = this.clock.now();
        this.freeAtMs = Math.max(this.freeAtMs, now) + pieces / PACED_PIECES_PER_MS;
        await this.clock.sleep(this.freeAtMs - now);
    }
}
