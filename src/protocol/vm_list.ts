/**
 * Interface to the platform's VM list.
 *
 * @module
 */

import type { Vm } from "../state/mod.js";

/** Client for the VM list, which may be stale. */
export abstract class VmList {
    /**
     * Reads the VMs, both live and leaving.
     *
     * @throws {PlatformError} When no answer was received.
     */
    abstract read(): Promise<readonly Vm[]>;
}
