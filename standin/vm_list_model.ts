/**
 * Model of the platform's VM list, which lags.
 *
 * @module
 */

import { Executed, PlatformError, VmList } from "../src/protocol/mod.js";
import type { Clock, Vm } from "../src/state/mod.js";

/** VMs as they were from a time on. */
interface Snapshot {
    readonly atMs: number;
    readonly vms: readonly Vm[];
}

/** VM list as a test or a stand-in process runs it. */
export class VmListModel extends VmList {
    /** Whether calls fail. */
    down = false;
    private snapshots: Snapshot[] = [];

    /**
     * @param clock Clock that the lag is measured by.
     * @param lagMs Time after which a change shows, in milliseconds.
     */
    constructor(private readonly clock: Clock, public lagMs: number) {
        super();
    }

    /** Sets the VMs as they are from now on. */
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
