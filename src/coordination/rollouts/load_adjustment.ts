/**
 * Estimates how latencies grow with the load of a backend server, from attempts on the old version.
 *
 * While the new version has few calls, its backend servers are nearly idle, so that a version which is twice as slow can look as
 * fast as the loaded old one. The duration of a decode step grows about linearly with the number of requests in its batch, so
 * dividing latencies by that growth makes them comparable at different loads. The slope is a least-squares fit to differences
 * within short blocks of time, because a platform slowdown shifts all latencies of a block alike.
 *
 * @module
 */

/** Length of a block, in milliseconds. */
const BLOCK_MS = 10_000;

/** Factor by which the weight of earlier blocks decays with each new block. */
const BLOCK_DECAY = 0.95;

/** Minimum weighted number of latencies for a fit. */
const MIN_FIT_WEIGHT = 60;

/** Minimum sum of squared load deviations for a fit: first-token times vary more than gaps between tokens. */
export const FIRST_TOKEN_MIN_LOAD_SQUARES = 1_500;
export const GAP_MIN_LOAD_SQUARES = 400;

/** Multiple of the mean latency of closed blocks above which a latency is excluded, as due to a pause of a backend server. */
const OUTLIER_FACTOR = 2;

/** Maximum growth for each additional request, as a share of the latency without load. */
const MAX_LATENCY_GROWTH = 0.08;

/** Sums over the latencies of one block. */
interface BlockSums {
    count: number;
    load: number;
    latency: number;
    loadSquares: number;
    products: number;
}

/** Estimates how the latencies of an operation on an engine class, or the token gaps of an engine class, grow with load. */
export class LoadAdjustment {
    private block = makeSums();
    private blockIndex = 0;
    private weight = 0;
    private loadDeviationSquares = 0;
    private covariance = 0;
    private meanLoad = 0;
    private meanLatency = 0;

    /** @param minLoadSquares Minimum sum of squared load deviations for a fit. */
    constructor(private readonly minLoadSquares: number) {}

    /**
     * Records a latency of the old version.
     *
     * @param load Number of requests at the backend server at dispatch.
     * @param latencyMs Latency in milliseconds.
     * @param nowMs Current time, in milliseconds since the Unix epoch.
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
     * Returns the factor by which a load increases latencies; 1 until there are enough latencies for a fit.
     *
     * @param load Number of requests at the backend server at dispatch.
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
