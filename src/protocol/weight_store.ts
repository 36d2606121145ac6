/**
 * Interface to the platform's store of model weights.
 *
 * @module
 */

/** Bandwidth and current use of the weight store. */
export interface WeightStoreState {
    /** Total bandwidth, in bytes per second. */
    readonly bytesPerSecond: number;
    /** Number of weight loads in progress. */
    readonly activeLoads: number;
}

/** Client for the weight store. */
export abstract class WeightStore {
    /**
     * Reads the weight store's bandwidth and current use.
     *
     * @throws {PlatformError} When no answer was received.
     */
    abstract readState(): Promise<WeightStoreState>;
}
