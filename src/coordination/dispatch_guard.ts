/**
 * Guard that enforces the delivery semantics of calls: how often a call may be dispatched to backend servers.
 *
 * @module
 */

import type { AcceptedCall, Executed, ServiceAnswer } from "../protocol/mod.js";

/** Decision on whether a call may be dispatched now. */
export enum DispatchDecision {
    /** The call may be dispatched once. */
    Granted = "given",
    /** The call was dispatched before and must not be dispatched again. */
    AlreadyDispatched = "used",
    /** The decision is still open; nothing may be held for the call until it is made. */
    Pending = "pending",
}

/** Permit to dispatch one call, issued by a {@linkcode DispatchGuard}. */
export abstract class DispatchPermit {
    /**
     * Requests permission for one dispatch.
     *
     * @throws {Refusal} When another call with the same key holds the permission.
     * @throws {RecordedAnswer} When another call with the same key was answered.
     */
    abstract tryAcquire(): Promise<DispatchDecision>;

    /** Waits until a pending decision is made or the signal is aborted. */
    abstract awaitDecision(signal: AbortSignal): Promise<void>;

    /**
     * Withdraws a granted dispatch that failed before any byte was sent, so that it does not count.
     */
    abstract cancelDispatch(): void;

    /**
     * Records the complete answer.
     *
     * @param answer Answer of the backend server; `undefined` for answers that are never stored.
     */
    abstract complete(answer: ServiceAnswer | undefined): Promise<void>;

    /**
     * Records that the call ended without a complete answer.
     *
     * @param executed Whether the dispatches of this call may have been executed.
     * @returns Whether the call may have been executed, including by earlier calls with the same key.
     */
    abstract fail(executed: Executed): Promise<Executed>;
}

/** Thrown when an earlier call with the same key was answered: its answer is replayed and nothing is dispatched. */
export class RecordedAnswer extends Error {
    override readonly name = "RecordedAnswer";

    /** @param answer Recorded answer of the earlier call. */
    constructor(readonly answer: ServiceAnswer) {
        super("An earlier call with the same key was answered.");
    }
}

/** Issues dispatch permits according to the semantics of each call's operation. */
export abstract class DispatchGuard {
    /**
     * Admits one call. Permission to dispatch is requested from the permit later, once a backend server is available.
     *
     * @throws {Refusal} When the call's key cannot be deduplicated.
     */
    abstract admit(call: AcceptedCall): DispatchPermit;

    /** Waits until all pending records are written to the log or the signal is aborted. */
    abstract close(signal: AbortSignal): Promise<void>;
}
