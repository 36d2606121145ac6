/**
 * Growth of latencies with the load of a backend server, learnt from the old version.
 *
 * While the new version has few calls its backend servers are nearly idle, so that a version which is twice as slow can look as
 * fast as the loaded old one. The time of a decode step grows about linearly with the requests in it; dividing by that growth
 * makes latencies at different loads comparable. The slope is fitted to differences within short blocks of time, which a slow
 * platform shifts as a whole.
 *
 * @module
 */

/** Length of a block, in milliseconds. */
const BLOCK_MS = 10_000;

/** Factor by which earlier blocks lose weight with each new one. */
const BLOCK_DECAY = 0.95;

/** Fewest latencies, by weight, for a fit. */
const MIN_FIT_WEIGHT = 60;

/** Least sum of squared load differences for a fit: first-token times scatter more than gaps between tokens. */
export const FIRST_TOKEN_MIN_LOAD_SQUARES = 1_500;
export const GAP_MIN_LOAD_SQUARES = 400;

/** Latencies above this factor of the last block's mean are left out of the fit: they come from a backend server's pause. */
const OUTLIER_FACTOR = 2;

/** Largest growth for one more request, as a share of the latency without load. */
const MAX_LATENCY_GROWTH = 0.08;

/** Sums of one block. */
interface BlockSums {
    count: number;
    load: number;
    latency: number;
    loadSquares: number;
    products: number;
}

/** Learns how latencies of one operation on one engine class grow with load. */
export class LoadAdjustment {
    private block = makeSums();
    private blockIndex = 0;
    private weight = 0;
    private loadDeviationSquares = 0;
    private covariance = 0;
    private meanLoad = 0;
    private meanLatency = 0;

    /** @param minLoadSquares Least sum of squared load differences for a fit. */
    constructor(private readonly minLoadSquares: number) {}

    /**
     * Takes a latency of the old version.
     *
     * @param load Requests at the backend server at dispatch.
     * @param latencyMs Latency in milliseconds.
     * @param nowMs Present time, in milliseconds since the Unix epoch.
     */
    record(load: number, latencyMs: number, nowMs: number): void {
        const index = Math.floor(nowMs / BLOCK_MS);
        if (index !== this.blockIndex) {
            this.closeBlock();
            this.blockIndex = index;
        }
        if (this.meanLatency > 0 && latencyMs > OUTLIER_FACTOR * this.meanLatency) {
            return;
        }
        const { block } = this;
        block.count += 1;
        block.load += load;
        block.latency += latencyMs;
        block.loadSquares += load * load;
        block.products += load * latencyMs;
    }

    /**
     * Returns the factor by which a load makes latencies longer; 1 as long as the growth is not known.
     *
     * @param load Requests at the backend server at dispatch.
     */
    factor(load: number): number {
        if (this.weight < MIN_FIT_WEIGHT || this.loadDeviationSquares < this.minLoadSquares) {
            return 1;
        }
        const slope = Math.max(0, this.covariance / this.loadDeviationSquares);
        const unloadedMs = this.meanLatency - slope * this.meanLoad;
        const growth = unloadedMs <= 0 ? MAX_LATENCY_GROWTH : Math.min(MAX_LATENCY_GROWTH, slope / unloadedMs);
        return 1 + growth * load;
    }

    private closeBlock(): void {
        const { count, load, latency, loadSquares, products } = this.block;
        this.block = makeSums();
        if (count === 0) {
            return;
        }
        this.weight = this.weight * BLOCK_DECAY + count;
        this.loadDeviationSquares = this.loadDeviationSquares * BLOCK_DECAY + loadSquares - load * load / count;
        this.covariance = this.covariance * BLOCK_DECAY + products - load * latency / count;
        this.meanLoad += (load / count - this.meanLoad) * count / this.weight;
        this.meanLatency += (latency / count - this.meanLatency) * count / this.weight;
    }
}

function makeSums(): BlockSums {
    return { count: 0, load: 0, latency: 0, loadSquares: 0, products: 0 };
}
