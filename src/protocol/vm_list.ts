/**
 * The platform's VM list.
 *
 * @module
 */

import type { Vm } from "../state/mod.js";

/** Connection to the VM list, which lags behind the truth. */
export abstract class VmList {
    /**
     * Reads the VMs, live and leaving.
     *
     * @throws {PlatformError} When no answer came.
     */
    abstract read(): Promise<readonly Vm[]>;
}
