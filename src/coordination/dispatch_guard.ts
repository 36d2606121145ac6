/**
 * Guard that keeps a call from reaching backend servers more often than its semantics allow.
 *
 * @module
 */

import type { AcceptedCall, Executed, ServiceAnswer } from "../protocol/mod.js";

/** Whether a call may be sent to a backend server now. */
export enum DispatchDecision {
    /** It may be sent once. */
    Granted = "given",
    /** It was sent already and is not sent again. */
    AlreadyDispatched = "used",
    /** It is not decided yet; nothing is to be held for the call meanwhile. */
    Pending = "pending",
}

/** Right to dispatch a call, given by a {@linkcode DispatchGuard}. */
export abstract class DispatchPermit {
    /**
     * Takes the right to dispatch once more.
     *
     * @throws {Refusal} When another call of the same key has the right.
     * @throws {RecordedAnswer} When another call of the same key was answered.
     */
    abstract tryAcquire(): Promise<DispatchDecision>;

    /** Waits until a pending right is decided, or the signal is aborted. */
    abstract awaitDecision(signal: AbortSignal): Promise<void>;

    /**
     * Says that a dispatch failed before any byte was sent, so that it does not count.
     */
    abstract cancelDispatch(): void;

    /**
     * Records the whole answer.
     *
     * @param answer Answer of the backend server; `undefined` for answers that are never kept.
     */
    abstract complete(answer: ServiceAnswer | undefined): Promise<void>;

    /**
     * Records that the call ended without a whole answer.
     *
     * @param executed Whether this call's own dispatches can have run.
     * @returns Whether the call can have run, earlier calls of the same key included.
     */
    abstract fail(executed: Executed): Promise<Executed>;
}

/** Answer recorded for an earlier call of the same key; it is given to the caller and nothing is dispatched. */
export class RecordedAnswer extends Error {
    override readonly name = "RecordedAnswer";

    /** @param answer Answer of the earlier call. */
    constructor(readonly answer: ServiceAnswer) {
        super("An earlier call of the same key was answered.");
    }
}

/** Gives each call the right to be dispatched, or refuses it. */
export abstract class DispatchGuard {
    /**
     * Admits one call; it may wait for a backend server before it takes the right to be dispatched.
     *
     * @throws {Refusal} When the call's key cannot be guarded.
     */
    abstract admit(call: AcceptedCall): DispatchPermit;

    /** Waits until everything that was recorded stands in the log, as long as the signal allows. */
    abstract close(signal: AbortSignal): Promise<void>;
}
