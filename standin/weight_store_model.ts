/**
 * Simulated weight store of the platform, whose bandwidth is shared by concurrent loads.
 *
 * @module
 */

import { Executed, PlatformError, WeightStore, type WeightStoreState } from "../src/protocol/mod.js";
import type { Clock } from "../src/state/mod.js";

/** Simulation step at which the bandwidth share of a load is recomputed, in milliseconds. */
const LOAD_STEP_MS = 100;

/** Simulated weight store, used in process by tests and served over HTTP by a stand-in process. */
export class WeightStoreModel extends WeightStore {
    /** Whether reads of the state fail. */
    isDown = false;
    private activeLoads = 0;

    /**
     * @param clock Clock that times the loads.
     * @param bytesPerSecond Total transfer rate, shared equally by the active loads.
     */
    constructor(private readonly clock: Clock, private readonly bytesPerSecond: number) {
        super();
    }

    override async readState(): Promise<WeightStoreState> {
        if (this.isDown) {
            throw new PlatformError("read the state", "weight store", Executed.No, new Error("the store is down"));
        }
        return { bytesPerSecond: this.bytesPerSecond, activeLoads: this.activeLoads };
    }

    /** Loads weights; resolves when the transfer is complete. */
    async load(bytes: number): Promise<void> {
        this.activeLoads += 1;
        let remainingBytes = bytes;
        while (remainingBytes > 0) {
            await this.clock.sleep(LOAD_STEP_MS);
            remainingBytes -= this.bytesPerSecond / this.activeLoads * LOAD_STEP_MS / 1_000;
        }
        this.activeLoads -= 1;
    }
}
