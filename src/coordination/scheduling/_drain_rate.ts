/**
 * Rate at which a node's calls of one pool are dispatched.
 *
 * @module
 */

/** Weight of a new interval in the averages. */
const INTERVAL_WEIGHT = 0.2;

/** Part of the whole rate that a tier is believed to get when the tiers above take all. */
const MIN_SHARE = 0.02;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Learns the rate, in tokens a second, and the part that each tier takes. */
export class DrainRate {
    private tokensPerSecond = Infinity;
    private readonly byRank: number[] = [];
    private readonly dispatched: number[] = [];
    private busyMs = 0;
    private measuredAtMs: number;
    private backlogged = false;

    /** @param nowMs Present time. */
    constructor(nowMs: number) {
        this.measuredAtMs = nowMs;
    }

    /** Whole rate; `Infinity` until calls have had to wait. */
    get total(): number {
        return this.tokensPerSecond;
    }

    /** Counts a dispatch. */
    recordDispatch(rank: number, tokens: number): void {
        this.dispatched[rank] = (this.dispatched[rank] ?? 0) + tokens;
    }

    /** Says whether calls wait from now on. */
    setBacklogged(backlogged: boolean): void {
        this.backlogged = backlogged;
        if (!backlogged) {
            this.busyMs = 0;
        }
    }

    /** Ends an interval. */
    measure(nowMs: number): void {
        const elapsedMs = nowMs - this.measuredAtMs;
        if (elapsedMs <= 0) {
            return;
        }
        this.measuredAtMs = nowMs;
        let sum = 0;
        for (let rank = 0; rank < this.dispatched.length; rank++) {
            const rate = (this.dispatched[rank] ?? 0) / elapsedMs * MS_PER_SECOND;
            sum += rate;
            this.byRank[rank] = (this.byRank[rank] ?? rate) + INTERVAL_WEIGHT * (rate - (this.byRank[rank] ?? rate));
            this.dispatched[rank] = 0;
        }
        this.busyMs = this.backlogged ? this.busyMs + elapsedMs : 0;
        if (this.busyMs > elapsedMs) {
            const known = Number.isFinite(this.tokensPerSecond) ? this.tokensPerSecond : sum;
            this.tokensPerSecond = known + INTERVAL_WEIGHT * (sum - known);
        }
        else if (sum > this.tokensPerSecond) {
            this.tokensPerSecond += INTERVAL_WEIGHT * (sum - this.tokensPerSecond);
        }
    }

    /** Returns the rate left for a rank after the ranks above it. */
    leftFor(rank: number): number {
        let taken = 0;
        for (let above = 0; above < rank; above++) {
            taken += this.byRank[above] ?? 0;
        }
        return Math.max(this.tokensPerSecond * MIN_SHARE, this.tokensPerSecond - taken);
    }
}
