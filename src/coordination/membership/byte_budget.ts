/**
 * Rate limit on the bytes that a node sends to other nodes.
 *
 * @module
 */

import type { Clock } from "../../state/mod.js";

/** Bytes of peer messages that a node sends per second; it receives as many on average, for a total of 7,000. */
export const MAX_PEER_BYTES_PER_SECOND = 3_500;

/** Burst size, as the time over which unused bytes accumulate, in milliseconds. */
const BURST_MS = 2_000;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Token bucket of bytes, with counters of the bytes sent and received. */
export class ByteBudget {
    /** Total bytes of messages sent. */
    sentBytes = 0;
    /** Total bytes of messages received. */
    receivedBytes = 0;
    private tokens: number;
    private refilledAtMs: number;
    private rateWindowStartMs: number;
    private rateWindowBytes = 0;
    private lastRate = 0;

    /**
     * @param clock Clock by which the bucket is refilled.
     * @param bytesPerSecond Refill rate. Defaults to {@linkcode MAX_PEER_BYTES_PER_SECOND}.
     */
    constructor(private readonly clock: Clock, private readonly bytesPerSecond = MAX_PEER_BYTES_PER_SECOND) {
        this.tokens = this.capacity;
        this.refilledAtMs = clock.now();
        this.rateWindowStartMs = this.refilledAtMs;
    }

    /** Bytes that can be sent now; negative after messages that cannot be deferred, such as probes, overdrew the bucket. */
    get available(): number {
        const nowMs = this.clock.now();
        this.tokens = Math.min(this.capacity, this.tokens + (nowMs - this.refilledAtMs) * this.bytesPerSecond / MS_PER_SECOND);
        this.refilledAtMs = nowMs;
        return Math.floor(this.tokens);
    }

    /** Bytes sent per second, over the last completed window of at least one second. */
    get rate(): number {
        this.updateRate();
        return Math.round(this.lastRate);
    }

    /** Charges a sent message to the bucket. */
    charge(bytes: number): void {
        this.updateRate();
        this.tokens = this.available - bytes;
        this.sentBytes += bytes;
        this.rateWindowBytes += bytes;
    }

    /** Counts a received message, which is not charged. */
    countReceived(bytes: number): void {
        this.receivedBytes += bytes;
    }

    private get capacity(): number {
        return this.bytesPerSecond * BURST_MS / MS_PER_SECOND;
    }

    /** Starts a new rate window once the current one is at least one second long. */
    private updateRate(): void {
        const elapsedMs = this.clock.now() - this.rateWindowStartMs;
        if (elapsedMs >= MS_PER_SECOND) {
            this.lastRate = this.rateWindowBytes * MS_PER_SECOND / elapsedMs;
            this.rateWindowBytes = 0;
            this.rateWindowStartMs += elapsedMs;
        }
    }
}
