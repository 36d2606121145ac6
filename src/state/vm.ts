/**
 * Entries of the platform's VM list, and load reports of backend servers.
 *
 * @module
 */

/** Whether a VM accepts new requests. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
}

/** Role of a VM. */
export enum VmRole {
    Entry = "entry",
    Backend = "backend",
}

/** Entry of the platform's VM list. */
export interface Vm {
    readonly id: string;
    readonly role: VmRole;
    /** IP address and port, such as `127.0.0.1:7101`. */
    readonly address: string;
    readonly failureDomain: string;
    readonly state: VmState;
    /** Pool that a backend server belongs to; entry VMs have none. */
    readonly pool?: string;
}

/** Load reported by a backend server; delayed by the reporting lag of the platform. */
export interface LoadReport {
    /** Version that the backend server runs. */
    readonly version: string;
    /** Hardware class, such as `g3`. */
    readonly engineClass: string;
    /** Requests queued at the backend server. */
    readonly waiting: number;
    /** Requests running at the backend server. */
    readonly running: number;
    /** Prompt tokens queued for prefill. */
    readonly waitingTokens: number;
    /** Time of the report, in milliseconds since the Unix epoch. */
    readonly atMs: number;
}
