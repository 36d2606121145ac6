/**
 * Model of the platform's weight store, whose rate all loads share.
 *
 * @module
 */

import { WeightStore, type WeightStoreState } from "../src/protocol/mod.js";
import type { Clock } from "../src/state/mod.js";

/** Time between two looks at the share of a load, in milliseconds. */
const LOAD_STEP_MS = 100;

/** Weight store as a test or a stand-in process runs it. */
export class WeightStoreModel extends WeightStore {
    private activeLoads = 0;

    /**
     * @param clock Clock that loads are timed by.
     * @param bytesPerSecond Rate that all loads share.
     */
    constructor(private readonly clock: Clock, private readonly bytesPerSecond: number) {
        super();
    }

    override async readState(): Promise<WeightStoreState> {
        return { bytesPerSecond: this.bytesPerSecond, activeLoads: this.activeLoads };
    }

    /** Loads weights; resolves when the last byte has come. */
    async load(bytes: number): Promise<void> {
        this.activeLoads += 1;
        let left = bytes;
        while (left > 0) {
            await this.clock.sleep(LOAD_STEP_MS);
            left -= this.bytesPerSecond / this.activeLoads * LOAD_STEP_MS / 1_000;
        }
        this.activeLoads -= 1;
    }
}
