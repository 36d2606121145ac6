/**
 * Messages between the membership experiment and its processes.
 *
 * @module
 */

import type { Vm } from "../src/state/mod.js";

/** How a process starts. */
export interface MemberSettings {
    readonly vm: Vm;
    readonly seed: number;
    /** Whether the process runs the naive membership. */
    readonly naive: boolean;
}

/** What the experiment tells a process. */
export type MemberCommand =
    | { readonly kind: "list"; readonly vms: readonly Vm[] }
    | { readonly kind: "figures" }
    | { readonly kind: "overload"; readonly seconds: number };

/** Figures of a process since its start. */
export interface MemberFigures {
    readonly cpuMicros: number;
    readonly rssBytes: number;
    /** Bytes of messages, sent and received. */
    readonly messageBytes: number;
    /** Bytes of sockets, sent and received. */
    readonly socketBytes: number;
    /** Exchanges put off because bytes were short. */
    readonly deferred: number;
}

/** What a process tells the experiment. */
export type MemberReport =
    | { readonly kind: "ready" }
    | { readonly kind: "change"; readonly id: string; readonly state: string; readonly atMs: number }
    | ({ readonly kind: "figures" } & MemberFigures);
