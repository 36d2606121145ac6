/**
 * Guard that keeps a call from reaching backend servers more often than its semantics allow.
 *
 * @module
 */

import type { AcceptedCall, Executed, ServiceAnswer } from "../protocol/mod.js";

/** Right to dispatch a call, given by a {@linkcode CallGuard}. */
export abstract class CallPass {
    /** Answer recorded for an earlier call of the same key; it is given to the caller and nothing is dispatched. */
    abstract readonly recorded: ServiceAnswer | undefined;

    /**
     * Takes the right to dispatch once more.
     *
     * @returns Whether the call may be sent to a backend server now.
     */
    abstract tryDispatch(): boolean;

    /**
     * Says that a dispatch failed before any byte was sent, so that it does not count.
     */
    abstract dispatchNotSent(): void;

    /**
     * Records the whole answer.
     *
     * @param answer Answer of the backend server; `undefined` for answers that are never kept.
     */
    abstract complete(answer: ServiceAnswer | undefined): Promise<void>;

    /**
     * Records that the call ended without a whole answer.
     *
     * @param executed Whether a backend server can have run it.
     */
    abstract fail(executed: Executed): Promise<void>;
}

/** Gives each call the right to be dispatched, or refuses it. */
export abstract class CallGuard {
    /**
     * Admits one call.
     *
     * @throws {Refusal} When a call of the same key may have been dispatched already.
     */
    abstract enter(call: AcceptedCall): Promise<CallPass>;
}
