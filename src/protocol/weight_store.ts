/**
 * The platform's weight store.
 *
 * @module
 */

/** Room that the weight store has for loads. */
export interface WeightStoreState {
    /** Bytes that it gives out each second. */
    readonly bytesPerSecond: number;
    /** Loads that run now. */
    readonly activeLoads: number;
}

/** Connection to the weight store. */
export abstract class WeightStore {
    /**
     * Reads the weight store's room.
     *
     * @throws {PlatformError} When no answer came.
     */
    abstract readState(): Promise<WeightStoreState>;
}
