/**
 * Observer of the calls at backend servers.
 *
 * @module
 */

import type { ServerState } from "./server_state.js";

/** Outcome of an attempt at a server. */
export enum AttemptOutcome {
    Good = "good",
    /** The server answered with an error, or its answer was invalid. */
    Bad = "bad",
    /** The server refused or closed the connection. */
    Broken = "broken",
    /** The attempt says nothing about the server's health: the caller disconnected, or the server refused the call. */
    Neutral = "neutral",
}

/** Receives what is known of calls at servers, as soon as it is known: a call that is cut off later has been observed until then. */
export abstract class ServerCallObserver {
    /** Records that a call was sent. */
    abstract recordSent(state: ServerState): void;

    /** Records a time to the first event, in milliseconds: of a call with an average prompt, or at least so long if there is none yet. */
    abstract recordFirstEvent(state: ServerState, latencyMs: number): void;

    /** Records the average time between the first events of a stream, in milliseconds. */
    abstract recordInterval(state: ServerState, intervalMs: number): void;

    /** Records the end of a call. */
    abstract recordEnd(state: ServerState, outcome: AttemptOutcome): void;
}
