/**
 * Scheduler interface: decides when and on which backend server each call runs.
 *
 * @module
 */

import type { AcceptedCall, EngineEnd } from "../protocol/mod.js";
import type { BackendServer } from "../state/mod.js";

/** Result of a dispatch, as reported to the scheduler. */
export enum DispatchResult {
    /** The complete answer was received. */
    Completed = "whole",
    /** The backend server failed. */
    Failed = "failed",
    /** The caller disconnected, the deadline passed, or the assignment was returned unused. */
    Abandoned = "abandoned",
}

/** Capacity reserved on one backend server for one call. */
export abstract class Assignment {
    /** Backend server to send the call to. */
    abstract readonly server: BackendServer;
    /** Called when the first token is overdue and another backend server may be tried; set by the holder of the assignment. */
    onFirstTokenOverdue: () => void = () => undefined;

    /** Records that a token was received. */
    abstract recordToken(): void;

    /**
     * Records the final event of a complete answer.
     *
     * @param end Summary of the answer from the engine.
     */
    recordEnd(end: EngineEnd): void {
        void end;
    }

    /**
     * Releases the capacity. Repeated calls have no effect.
     *
     * @param result Result of the dispatch.
     */
    abstract release(result: DispatchResult): void;
}

/** Settings of one assignment. */
export interface AssignSettings {
    /** Cancels the wait when aborted. */
    readonly signal: AbortSignal;
    /** Ids of the backend servers on which the call has failed. */
    readonly excludedServers: ReadonlySet<string>;
    /** Answer tokens already received, after which the next backend server resumes. Defaults to 0. */
    readonly receivedTokens?: number;
}

/** Decides when and to which backend server each call is dispatched. */
export abstract class Scheduler {
    /**
     * Waits until the call may be dispatched.
     *
     * @throws {Refusal} When the call is shed; nothing was dispatched since the call to this method.
     */
    abstract assign(call: AcceptedCall, settings: AssignSettings): Promise<Assignment>;

    /**
     * Runs the periodic tasks of the scheduler until the signal is aborted. Does nothing by default.
     *
     * @param signal Stops the tasks when aborted.
     */
    async run(signal: AbortSignal): Promise<void> {
        void signal;
    }
}
