/**
 * Latency measurement of one call against its latency objectives.
 *
 * @module
 */

import type { AcceptedCall } from "../protocol/mod.js";
import type { Clock } from "../state/mod.js";
import type { CallTimings } from "./call_observer.js";

/** Measures the time to the first token, the gaps between tokens and the total time of one call. */
export class CallTimer {
    private firstTokenMs: number | undefined;
    private longestGapMs = 0;
    private lastTokenAtMs: number;

    /**
     * @param call Call to measure.
     * @param clock Clock that timestamps the tokens.
     */
    constructor(private readonly call: AcceptedCall, private readonly clock: Clock) {
        this.lastTokenAtMs = call.acceptedAtMs;
    }

    /** Records a token received now. */
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

    /** Returns the timings of the call; called when its answer is complete. */
    finish(): CallTimings {
        const answerMs = this.clock.now() - this.call.acceptedAtMs;
        const firstTokenMs = this.firstTokenMs ?? answerMs;
        const { promise } = this.call.operation;
        const metObjectives = answerMs <= promise.answerMs && firstTokenMs <= (promise.firstTokenMs ?? Infinity);
        return { firstTokenMs, longestGapMs: this.longestGapMs, answerMs, metObjectives };
    }
}
