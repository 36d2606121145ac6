/**
 * Backend servers as the VM list and their own reports describe them.
 *
 * @module
 */

/** Whether a VM takes new work. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
}

/** Role of a VM. */
export enum VmRole {
    Entry = "entry",
    Backend = "backend",
}

/** VM as the platform's VM list shows it. */
export interface Vm {
    readonly id: string;
    readonly role: VmRole;
    /** IP number and port, such as `127.0.0.1:7101`. */
    readonly address: string;
    readonly failureDomain: string;
    readonly state: VmState;
    /** Pool that a backend server belongs to; entry VMs have none. */
    readonly pool?: string;
}

/** Load that a backend server reported, late by the platform's lag. */
export interface LoadReport {
    /** Version that the backend server runs. */
    readonly version: string;
    /** Class of hardware, such as `g3`. */
    readonly engineClass: string;
    /** Requests that wait at the backend server. */
    readonly waiting: number;
    /** Requests that run at the backend server. */
    readonly running: number;
    /** Tokens that wait to be prefilled. */
    readonly waitingTokens: number;
    /** Time of the report, in milliseconds since the Unix epoch. */
    readonly atMs: number;
}
