/**
 * Choice of a backend server for each call.
 *
 * @module
 */

import type { AcceptedCall, EngineEnd } from "../protocol/mod.js";
import type { BackendServer } from "../state/mod.js";

/** How a dispatch ended, as far as the choice of backend servers must know. */
export enum DispatchResult {
    /** The whole answer came. */
    Completed = "whole",
    /** The backend server failed. */
    Failed = "failed",
    /** The caller went away, or the time ran out. */
    Abandoned = "abandoned",
}

/** Right to send one call to one backend server. */
export abstract class Assignment {
    /** Backend server to address. */
    abstract readonly server: BackendServer;
    /** Is called when the first token is overdue and another backend server may be tried; set by who holds the assignment. */
    onFirstTokenOverdue: () => void = () => undefined;

    /** Records that a token came. */
    abstract recordToken(): void;

    /**
     * Records the last event of a whole answer.
     *
     * @param end What the engine says of the answer.
     */
    recordEnd(end: EngineEnd): void {
        void end;
    }

    /**
     * Gives the right back. Later calls have no effect.
     *
     * @param result How the dispatch ended.
     */
    abstract release(result: DispatchResult): void;
}

/** Settings of one choice. */
export interface AssignSettings {
    /** Ends the wait when aborted. */
    readonly signal: AbortSignal;
    /** Ids of backend servers that the call has failed on. */
    readonly excluded: ReadonlySet<string>;
    /** Tokens of the answer already held, from which another backend server resumes. Defaults to 0. */
    readonly receivedTokens?: number;
}

/** Decides when and where each call is dispatched. */
export abstract class Scheduler {
    /**
     * Waits until the call may be dispatched.
     *
     * @throws {Refusal} When the call is shed; nothing of it has been dispatched by this choice.
     */
    abstract assign(call: AcceptedCall, settings: AssignSettings): Promise<Assignment>;

    /**
     * Does the work that recurs, until the signal is aborted.
     *
     * @param signal Ends the work.
     */
    async run(signal: AbortSignal): Promise<void> {
        void signal;
    }
}
