/**
 * Messages between the membership experiment and its member processes.
 *
 * @module
 */

import type { Vm } from "../src/state/mod.js";

/** Settings of a member process, passed as its argument. */
export interface MemberSettings {
    readonly vm: Vm;
    readonly seed: number;
    /** Whether the process runs the naive membership instead of the current one. */
    readonly naive: boolean;
}

/** Command from the experiment to a member process. */
export type MemberCommand =
    | { readonly kind: "list"; readonly vms: readonly Vm[] }
    | { readonly kind: "figures" }
    | { readonly kind: "overload"; readonly seconds: number };

/** Resource usage of a member process since its start. */
export interface MemberFigures {
    readonly cpuMicros: number;
    readonly rssBytes: number;
    /** Size of the membership and dissemination messages sent and received, in bytes. */
    readonly messageBytes: number;
    /** Bytes sent and received on sockets, with the framing of HTTP/2. */
    readonly socketBytes: number;
    /** Exchanges deferred because the byte budget was exhausted. */
    readonly deferred: number;
}

/** Message from a member process to the experiment. */
export type MemberReport =
    | { readonly kind: "ready" }
    | { readonly kind: "change"; readonly id: string; readonly state: string; readonly atMs: number }
    | ({ readonly kind: "figures" } & MemberFigures);
