/**
 * Where the figures of each call go.
 *
 * @module
 */

import type { AcceptedCall, Refusal } from "../protocol/mod.js";

/** Figures of an answered call. */
export interface CallTimings {
    /** Time from acceptance to the first token, or to the whole answer of a plain service, in milliseconds. */
    readonly firstTokenMs: number;
    /** Longest time between two tokens, in milliseconds; 0 for plain services. */
    readonly longestGapMs: number;
    /** Time from acceptance to the end of the answer, in milliseconds. */
    readonly answerMs: number;
    /** Whether the answer was whole within the promise. */
    readonly kept: boolean;
}

/** Is told how each call ended. */
export abstract class CallObserver {
    /** A call was accepted for scheduling. */
    abstract recordAccepted(call: AcceptedCall): void;

    /** A call got its whole answer. */
    abstract recordAnswered(call: AcceptedCall, figures: CallTimings): void;

    /** A call was refused; `call` is `undefined` when its workspace or operation was not found. */
    abstract recordRefused(call: AcceptedCall | undefined, refusal: Refusal): void;
}
