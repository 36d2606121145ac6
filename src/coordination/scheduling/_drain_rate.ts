/**
 * Estimate of the rate at which a node dispatches the calls of one pool.
 *
 * @module
 */

/** Weight of a new interval in the moving averages. */
const SMOOTHING_FACTOR = 0.2;

/** Share of the total rate that is assumed for a tier when the tiers above use all of it. */
const MIN_AVAILABLE_SHARE = 0.02;

const MS_PER_SECOND = 1_000;

/**
 * Estimates the total dispatch rate and the rate of each tier, in tokens per second.
 *
 * Without a backlog, the dispatches of an interval show the demand, not the capacity, and can only raise the total rate.
 */
export class DrainRate {
    private tokensPerSecond = Infinity;
    private readonly rateByRank: number[] = [];
    private readonly dispatchedTokens: number[] = [];
    private backloggedMs = 0;
    private measuredAtMs: number;
    private backlogged = false;

    /** @param nowMs Start of the first interval. */
    constructor(nowMs: number) {
        this.measuredAtMs = nowMs;
    }

    /** Total rate; `Infinity` until calls have had to wait. */
    get total(): number {
        return this.tokensPerSecond;
    }

    /** Adds a dispatched call to the current interval. */
    recordDispatch(rank: number, tokens: number): void {
        this.dispatchedTokens[rank] = (this.dispatchedTokens[rank] ?? 0) + tokens;
    }

    /** Records whether the queue holds calls from now on. */
    setBacklogged(backlogged: boolean): void {
        this.backlogged = backlogged;
        if (!backlogged) {
            this.backloggedMs = 0;
        }
    }

    /** Ends the current interval and updates the averages. */
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
            const current = Number.isFinite(this.tokensPerSecond) ? this.tokensPerSecond : sum;
            this.tokensPerSecond = current + SMOOTHING_FACTOR * (sum - current);
        }
        else if (sum > this.tokensPerSecond) {
            this.tokensPerSecond += SMOOTHING_FACTOR * (sum - this.tokensPerSecond);
        }
    }

    /** Returns the rate available to a rank after the ranks above it are served. */
    availableTo(rank: number): number {
        let usedAbove = 0;
        for (let above = 0; above < rank; above++) {
            usedAbove += this.rateByRank[above] ?? 0;
        }
        return Math.max(this.tokensPerSecond * MIN_AVAILABLE_SHARE, this.tokensPerSecond - usedAbove);
    }
}
