/**
 * Token bucket that all nodes share without a coordinator.
 *
 * @module
 */

import type { Clock } from "../../state/relay/mod.js";

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Time window over which a peer's usage rate is estimated, in milliseconds; about three reports. */
const RATE_WINDOW_MS = 600;

/** Longest time for which a peer's last rate is extrapolated, in milliseconds; a peer silent for longer is partitioned or gone. */
const MAX_EXTRAPOLATION_MS = 1_000;

/** Reported usage of one peer. */
interface PeerUsage {
    total: number;
    perMs: number;
    reportedAtMs: number;
}

/** Rate and bounds of a bucket. */
export interface BucketLimits {
    readonly tokensPerSecond: number;
    /** Highest level, in tokens. */
    readonly burst: number;
    /** Tokens below zero that are charged at most; overuse beyond them is forgiven. Defaults to no bound. */
    readonly maxDebt?: number;
    /**
     * Whether the burst bounds the tokens that can be used, and not the level, so that the tokens that peers are estimated to have used do
     * not count towards it. Needed where a burst is used within the age of the reports. Defaults to `false`.
     */
    readonly isBurstUsable?: boolean;
}

/**
 * Counts the usage of all nodes. Reports of peers are a fraction of a second old: usage since the last report is extrapolated, and usage
 * that the extrapolation missed is charged once it is reported, so the level can be negative. The share of unreachable nodes is reserved
 * for them.
 */
export class SharedTokenBucket {
    private filledAtMs: number;
    private usedTokens = 0;
    private readonly peers = new Map<string, PeerUsage>();

    /**
     * @param clock Time source of the refill.
     * @param level Tokens at the start.
     * @param maxFirstTotal Tokens of a peer's first total that are charged at most: usage of peers that began to use the bucket before
     *   this node knew of it.
     */
    constructor(private readonly clock: Clock, private level: number, private readonly maxFirstTotal = 0) {
        this.filledAtMs = clock.now();
    }

    /** Tokens that this node has used since the bucket's creation. */
    get ownTotal(): number {
        return this.usedTokens;
    }

    /** Tokens that can be used now, less those that peers are estimated to have used since their last reports; negative after overuse. */
    get available(): number {
        return this.level - this.unreported;
    }

    /** Tokens that peers are estimated to have used since their last reports. */
    private get unreported(): number {
        const now = this.clock.now();
        let unreported = 0;
        for (const { perMs, reportedAtMs } of this.peers.values()) {
            const ageMs = now - reportedAtMs;
            if (ageMs <= MAX_EXTRAPOLATION_MS) {
                unreported += perMs * ageMs;
            }
        }
        return unreported;
    }

    /**
     * Refills the bucket up to now.
     *
     * @param limits See {@linkcode BucketLimits}.
     * @param reachableShare Share of all nodes that this one reaches, from 0 to 1.
     */
    refill({ tokensPerSecond, burst, maxDebt = Infinity, isBurstUsable = false }: BucketLimits, reachableShare: number): void {
        const now = this.clock.now();
        const refilled = (now - this.filledAtMs) / MS_PER_SECOND * tokensPerSecond * reachableShare;
        const unreported = isBurstUsable ? this.unreported : 0;
        this.level = Math.min(burst * reachableShare + unreported, Math.max(-maxDebt, this.level) + refilled);
        this.filledAtMs = now;
    }

    /** Uses tokens; a negative number gives them back. */
    use(tokens: number): void {
        this.level -= tokens;
        this.usedTokens += tokens;
    }

    /**
     * Records a peer's total. Usage before its first report is charged up to a bound, by default not at all.
     *
     * @param incarnation Key of the peer and its start.
     */
    recordPeerTotal(incarnation: string, total: number): void {
        const now = this.clock.now();
        const usage = this.peers.get(incarnation);
        if (usage === undefined) {
            this.level -= Math.min(this.maxFirstTotal, Math.max(0, total));
            this.peers.set(incarnation, { total, perMs: 0, reportedAtMs: now });
            return;
        }
        const used = total - usage.total;
        this.level -= used;
        const elapsedMs = Math.max(1, now - usage.reportedAtMs);
        const weight = Math.min(1, elapsedMs / RATE_WINDOW_MS);
        usage.perMs += (Math.max(0, used) / elapsedMs - usage.perMs) * weight;
        usage.total = total;
        usage.reportedAtMs = now;
    }

    /** Starts again with a number of tokens; totals go on. */
    restart(tokens: number): void {
        this.level = tokens;
        this.filledAtMs = this.clock.now();
    }

    /** Removes a peer that is gone. */
    removePeer(incarnation: string): void {
        this.peers.delete(incarnation);
    }
}
