/**
 * Times of one call against its promise.
 *
 * @module
 */

import type { AcceptedCall } from "../protocol/mod.js";
import type { Clock } from "../state/mod.js";
import type { CallTimings } from "./call_observer.js";

/** Measures the first token and the gaps between tokens of one call. */
export class CallTimer {
    private firstTokenMs: number | undefined;
    private longestGapMs = 0;
    private lastTokenAtMs: number;

    /**
     * @param call Call that is measured.
     * @param clock Clock to measure by.
     */
    constructor(private readonly call: AcceptedCall, private readonly clock: Clock) {
        this.lastTokenAtMs = call.acceptedAtMs;
    }

    /** Records a token at the present time. */
    recordToken(): void {
        const nowMs = this.clock.now();
        if (this.firstTokenMs === undefined) {
            this.firstTokenMs = nowMs - this.call.acceptedAtMs;
        }
        else {
            this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.lastTokenAtMs);
        }
        this.lastTokenAtMs = nowMs;
    }

    /** Returns the figures of a call whose answer is whole now. */
    finish(): CallTimings {
        const answerMs = this.clock.now() - this.call.acceptedAtMs;
        const firstTokenMs = this.firstTokenMs ?? answerMs;
        const { promise } = this.call.operation;
        const kept = answerMs <= promise.answerMs && firstTokenMs <= (promise.firstTokenMs ?? Infinity);
        return { firstTokenMs, longestGapMs: this.longestGapMs, answerMs, kept };
    }
}
