/**
 * Observer of the outcome of calls.
 *
 * @module
 */

import type { AcceptedCall, Refusal } from "../protocol/mod.js";

/** Timings of an answered call. */
export interface CallTimings {
    /** Time from acceptance to the first token, or to the complete answer of a plain service, in milliseconds. */
    readonly firstTokenMs: number;
    /** Longest time between two tokens, in milliseconds; 0 for plain services. */
    readonly longestGapMs: number;
    /** Time from acceptance to the end of the answer, in milliseconds. */
    readonly answerMs: number;
    /** Whether the answer met the objectives of the operation for the first token and for the complete answer. */
    readonly metObjectives: boolean;
}

/** Receives the outcome of each call. */
export abstract class CallObserver {
    /** Records a call that was accepted for scheduling. */
    abstract recordAccepted(call: AcceptedCall): void;

    /** Records a call whose complete answer was delivered. */
    abstract recordAnswered(call: AcceptedCall, timings: CallTimings): void;

    /** Records a refused call; `call` is `undefined` when the call was refused before it was resolved. */
    abstract recordRefused(call: AcceptedCall | undefined, refusal: Refusal): void;
}
