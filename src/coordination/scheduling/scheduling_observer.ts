/**
 * Observer of scheduling decisions.
 *
 * @module
 */

import type { WaitingCall } from "./waiting_call.js";

/** Reason for which a call was shed. */
export enum ShedReason {
    /** At its arrival, the expected wait was too long for its latency objectives. */
    Arrival = "arrival",
    /** While it waited, its latest start passed. */
    Late = "late",
    /** Its tier was stopped to leave the capacity to a higher one. */
    HigherTier = "higherTier",
    /** The queue was full, and it was in the lowest tier with waiting calls. */
    QueueFull = "queueFull",
}

/** Reasons as shown to callers and on the event timeline. */
export const SHED_REASON_TEXTS: Readonly<Record<ShedReason, string>> = {
    [ShedReason.Arrival]: "its wait would break its promise",
    [ShedReason.Late]: "its promise can no longer be kept",
    [ShedReason.HigherTier]: "a higher tier needs the capacity",
    [ShedReason.QueueFull]: "the queue is full",
};

/** Receives each scheduling decision. */
export abstract class SchedulingObserver {
    /** Records that a call was dispatched after a wait. */
    abstract recordDispatch(waiting: WaitingCall, waitedMs: number): void;

    /** Records that a call was shed. */
    abstract recordShed(waiting: WaitingCall, reason: ShedReason): void;

    /** Records that a call left the queue because its deadline passed or its caller disconnected. */
    abstract recordWithdrawn(waiting: WaitingCall): void;

    /** Records that a backend server was ejected. */
    abstract recordEjected(server: string): void;

    /** Records that a backend server had less of a prompt cached than the prefix index predicted. */
    abstract recordStalePrefix(): void;
}
