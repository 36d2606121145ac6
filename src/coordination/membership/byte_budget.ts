/**
 * Budget of bytes that a node may send to other nodes.
 *
 * @module
 */

import type { Clock } from "../../state/mod.js";

/** Bytes of messages that a node sends to other nodes each second; it receives as many on average, which makes 7,000. */
export const MAX_PEER_BYTES_PER_SECOND = 3_500;

/** Time for which unused bytes are kept, in milliseconds. */
const BURST_MS = 2_000;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Token bucket of bytes, which also counts what was sent and received. */
export class ByteBudget {
    /** Bytes of messages sent. */
    sentBytes = 0;
    /** Bytes of messages received. */
    receivedBytes = 0;
    private tokens: number;
    private refilledAtMs: number;
    private rateWindowStartMs: number;
    private rateWindowBytes = 0;
    private lastRate = 0;

    /**
     * @param clock Clock that refills the budget.
     * @param bytesPerSecond Rate. Defaults to {@linkcode MAX_PEER_BYTES_PER_SECOND}.
     */
    constructor(private readonly clock: Clock, private readonly bytesPerSecond = MAX_PEER_BYTES_PER_SECOND) {
        this.tokens = this.capacity;
        this.refilledAtMs = clock.now();
        this.rateWindowStartMs = this.refilledAtMs;
    }

    /** Bytes that may be sent now; negative when probes used more than there was. */
    get available(): number {
        const nowMs = this.clock.now();
        this.tokens = Math.min(this.capacity, this.tokens + (nowMs - this.refilledAtMs) * this.bytesPerSecond / MS_PER_SECOND);
        this.refilledAtMs = nowMs;
        return Math.floor(this.tokens);
    }

    /** Bytes sent a second, over the last whole second or more. */
    get rate(): number {
        this.updateRate();
        return Math.round(this.lastRate);
    }

    /** Charges a message that is sent. */
    charge(bytes: number): void {
        this.updateRate();
        this.tokens = this.available - bytes;
        this.sentBytes += bytes;
        this.rateWindowBytes += bytes;
    }

    /** Counts a message that came. */
    countReceived(bytes: number): void {
        this.receivedBytes += bytes;
    }

    private get capacity(): number {
        return this.bytesPerSecond * BURST_MS / MS_PER_SECOND;
    }

    private updateRate(): void {
        const elapsedMs = this.clock.now() - this.rateWindowStartMs;
        if (elapsedMs >= MS_PER_SECOND) {
            this.lastRate = this.rateWindowBytes * MS_PER_SECOND / elapsedMs;
            this.rateWindowBytes = 0;
            this.rateWindowStartMs += elapsedMs;
        }
    }
}
