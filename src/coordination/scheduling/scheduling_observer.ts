/**
 * Where the scheduler's decisions are told.
 *
 * @module
 */

import type { WaitingCall } from "./waiting_call.js";

/** Why a call was shed. */
export enum ShedReason {
    /** Its wait would have broken its promise, as far as known at its arrival. */
    Arrival = "arrival",
    /** It could no longer keep its promise. */
    Late = "late",
    /** It gave way to a higher tier. */
    HigherTier = "higherTier",
    /** The queue was full, and no lower tier waited. */
    QueueFull = "queueFull",
}

/** Reasons as callers and the time line read them. */
export const SHED_REASON_TEXTS: Readonly<Record<ShedReason, string>> = {
    [ShedReason.Arrival]: "its wait would break its promise",
    [ShedReason.Late]: "its promise can no longer be kept",
    [ShedReason.HigherTier]: "a higher tier needs the capacity",
    [ShedReason.QueueFull]: "the queue is full",
};

/** Is told of each decision. */
export abstract class SchedulingObserver {
    /** A call was dispatched after a wait. */
    abstract recordDispatch(waiting: WaitingCall, waitedMs: number): void;

    /** A call was shed. */
    abstract recordShed(waiting: WaitingCall, reason: ShedReason): void;

    /** A call left the queue at its deadline or because its caller went away. */
    abstract recordWithdrawn(waiting: WaitingCall): void;

    /** A backend server was ejected. */
    abstract recordEjected(server: string): void;

    /** A backend server had less of a prompt cached than the index held. */
    abstract recordStalePrefix(): void;
}
