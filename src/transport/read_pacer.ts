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

/** Pieces a millisecond that all paced connections together may bring; each takes the event loop one or two microseconds. */
export const DEFAULT_PIECES_PER_MS = 100;

/** Time after the last pause of a connection for which the pacer counts as busy, in milliseconds. */
const BUSY_MS = 1_000;

/**
 * Time by which a turn may be late without loss to the rate if another was taken shortly before, in milliseconds; timers are late by one
 * or two of them.
 */
const MAX_CREDIT_MS = 20;

/** Counts the pieces of one connection and pauses it. */
export abstract class PacedInput {
    private pieces = 0;
    private windowStartMs: number;
    private isPaced = false;
    private isClosed = false;

    /** @param pacer Pacer of the node. */
    constructor(protected readonly pacer: ReadPacer) {
        this.windowStartMs = pacer.now();
    }

    /** Records pieces that were read. */
    record(pieces: number): void {
        this.pieces += pieces;
        if (this.pieces <= MAX_PIECES_PER_WINDOW || this.isPaced || this.isClosed) {
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
        this.pacer.enqueue(this);
    }

    /** Gives up the turn of a connection that has gone, or whose input has ended. */
    close(): void {
        this.isClosed = true;
        this.pacer.remove(this);
    }

    /** Number of pieces that were read since the last pause; for the pacer. */
    get recordedPieces(): number {
        return this.pieces;
    }

    /** Ends the pause; for the pacer. */
    proceed(): void {
        this.isPaced = false;
        this.pieces = 0;
        this.windowStartMs = this.pacer.now();
        this.resume();
    }

    /** Stops reading; bytes that were read already may still be recorded. */
    protected abstract pause(): void;

    /** Reads on. */
    protected abstract resume(): void;
}

/**
 * Shares the event loop between paced connections and all other work. A connection that brings many pieces at once is paused until the
 * pieces fit into a common rate, so that input without end slows down itself and other such connections only. Paced connections take
 * turns, and one that has gone loses its turn at no cost to those behind it.
 */
export class ReadPacer {
    private freeAtMs = 0;
    private lastTurnAtMs = 0;
    private busyUntilMs = 0;
    private isRunning = false;
    private readonly waiting = new Set<PacedInput>();
    private readonly busyListeners: (() => void)[] = [];

    /**
     * @param clock Clock by which connections are paused.
     * @param piecesPerMs Pieces a millisecond that all paced connections together may bring. Defaults to
     *     {@linkcode DEFAULT_PIECES_PER_MS}.
     */
    constructor(private readonly clock: Clock, readonly piecesPerMs = DEFAULT_PIECES_PER_MS) {}

    /** Current time, in milliseconds since the Unix epoch. */
    now(): number {
        return this.clock.now();
    }

    /** Whether connections are paced, or were paced within the last second. */
    get isBusy(): boolean {
        return this.waiting.size > 0 || this.clock.now() < this.busyUntilMs;
    }

    /** Number of connections that wait for their turn. */
    get waitingConnections(): number {
        return this.waiting.size;
    }

    /** Calls a function each time that a connection is paced while the pacer was not busy. */
    onBusy(listener: () => void): void {
        this.busyListeners.push(listener);
    }

    /** Adds an input to those that wait for their turn. */
    enqueue(input: PacedInput): void {
        const wasBusy = this.isBusy;
        this.waiting.add(input);
        this.busyUntilMs = this.clock.now() + BUSY_MS;
        if (!wasBusy) {
            for (const listener of this.busyListeners) {
                listener();
            }
        }
        if (!this.isRunning) {
            this.isRunning = true;
            void this.takeTurns();
        }
    }

    /** Removes an input that needs no turn any more. */
    remove(input: PacedInput): void {
        this.waiting.delete(input);
    }

    private async takeTurns(): Promise<void> {
        // The rest of what was read is recorded by then.
        await nextPass();
        for (const input of this.waiting) {
            const now = this.clock.now();
            const creditMs = now > this.lastTurnAtMs + MAX_CREDIT_MS ? 0 : MAX_CREDIT_MS;
            this.freeAtMs = Math.max(this.freeAtMs, now - creditMs) + input.recordedPieces / this.piecesPerMs;
            await (this.freeAtMs > now ? this.clock.sleep(this.freeAtMs - now) : nextPass());
            if (this.waiting.delete(input)) {
                this.lastTurnAtMs = this.clock.now();
                this.busyUntilMs = this.lastTurnAtMs + BUSY_MS;
                input.proceed();
            }
        }
        this.isRunning = false;
    }
}

/** Waits until the event loop has read its sockets. */
function nextPass(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
