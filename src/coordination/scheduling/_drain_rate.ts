/**
 * Rate at which a node's calls of one pool are dispatched.
 *
 * @module
 */

/** Weight of a new interval in the averages. */
const SMOOTHING_FACTOR = 0.2;

/** Part of the whole rate that a tier is believed to get when the tiers above take all. */
const MIN_AVAILABLE_SHARE = 0.02;

/** Milliseconds in a second. */
const MS_PER_SECOND = 1_000;

/** Learns the rate, in tokens a second, and the part that each tier takes. */
export class DrainRate {
    private tokensPerSecond = Infinity;
    private readonly rateByRank: number[] = [];
    private readonly dispatchedTokens: number[] = [];
    private backloggedMs = 0;
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
        this.dispatchedTokens[rank] = (this.dispatchedTokens[rank] ?? 0) + tokens;
    }

    /** Says whether calls wait from now on. */
    setBacklogged(backlogged: boolean): void {
        this.backlogged = backlogged;
        if (!backlogged) {
            this.backloggedMs = 0;
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
        for (let rank = 0; rank < this.dispatchedTokens.length; rank++) {
            const rate = (this.dispatchedTokens[rank] ?? 0) / elapsedMs * MS_PER_SECOND;
            sum += rate;
            this.rateByRank[rank] = (this.rateByRank[rank] ?? rate) + SMOOTHING_FACTOR * (rate - (this.rateByRank[rank] ?? rate));
            this.dispatchedTokens[rank] = 0;
        }
        this.backloggedMs = this.backlogged ? this.backloggedMs + elapsedMs : 0;
        if (this.backloggedMs > elapsedMs) {
            const known = Number.isFinite(this.tokensPerSecond) ? this.tokensPerSecond : sum;
            this.tokensPerSecond = known + SMOOTHING_FACTOR * (sum - known);
        }
        else if (sum > this.tokensPerSecond) {
            this.tokensPerSecond += SMOOTHING_FACTOR * (sum - this.tokensPerSecond);
        }
    }

    /** Returns the rate left for a rank after the ranks above it. */
    availableTo(rank: number): number {
        let taken = 0;
        for (let above = 0; above < rank; above++) {
            taken += this.rateByRank[above] ?? 0;
        }
        return Math.max(this.tokensPerSecond * MIN_AVAILABLE_SHARE, this.tokensPerSecond - taken);
    }
}
