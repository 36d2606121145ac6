/**
 * Simulated VM list of the platform, with a propagation delay.
 *
 * @module
 */

import { Executed, PlatformError, VmList } from "../src/protocol/mod.js";
import type { Clock, Vm } from "../src/state/mod.js";

/** VM list as set at a point in time. */
interface Snapshot {
    readonly atMs: number;
    readonly vms: readonly Vm[];
}

/** Simulated VM list, used in process by tests and served over HTTP by a stand-in process. */
export class VmListModel extends VmList {
    /** Whether reads fail. */
    down = false;
    private snapshots: Snapshot[] = [];

    /**
     * @param clock Clock that times the lag.
     * @param lagMs Time until a change becomes visible, in milliseconds.
     */
    constructor(private readonly clock: Clock, public lagMs: number) {
        super();
    }

    /** Sets the VMs; reads return them after the lag. */
    set(vms: readonly Vm[]): void {
        this.snapshots.push({ atMs: this.clock.now(), vms });
    }

    override async read(): Promise<readonly Vm[]> {
        if (this.down) {
            throw new PlatformError("read VM list", "vm-list", Executed.No, new Error("the VM list is down"));
        }
        const visibleAtMs = this.clock.now() - this.lagMs;
        while (this.snapshots.length > 1 && this.snapshots[1].atMs <= visibleAtMs) {
            this.snapshots.shift();
        }
        return this.snapshots[0]?.vms ?? [];
    }
}
