/**
 * Life of one call: from acceptance to its deadline or to its caller's going away.
 *
 * @module
 */

import { type AcceptedCall, CALL_ENDED, DEADLINE_PASSED, Executed, Refusal, RefusalType } from "../protocol/mod.js";
import type { Clock } from "../state/mod.js";

/** Bounds one call in time and collects whether it can have run. */
export class CallScope {
    /** Is aborted at the deadline, when the caller goes away, or when the scope is closed. */
    readonly signal: AbortSignal;
    /** Whether a backend server can have run the call so far. */
    executed = Executed.No;

    /**
     * @param call Call that the scope is for.
     * @param clock Clock that the deadline is measured by.
     */
    constructor(readonly call: AcceptedCall, private readonly clock: Clock) {
        this.signal = call.incoming.life.signal;
        void this.watchDeadline();
    }

    /** Milliseconds until the deadline; negative after it. */
    get remainingMs(): number {
        return this.call.deadlineMs - this.clock.now();
    }

    /** Ends the scope and everything that waits on its signal. */
    close(): void {
        this.call.incoming.life.abort(CALL_ENDED);
    }

    /** Returns the refusal that tells why the signal was aborted. */
    toRefusal(): Refusal {
        if (this.signal.reason === DEADLINE_PASSED) {
            const detail = `The answer was not whole within ${this.call.operation.promise.answerMs} ms.`;
            return new Refusal(RefusalType.DeadlinePassed, detail, { executed: this.executed });
        }
        return new Refusal(RefusalType.CallerGone, "The caller went away.", { executed: this.executed });
    }

    private async watchDeadline(): Promise<void> {
        const elapsed = await this.clock.sleep(Math.max(0, this.remainingMs), this.signal);
        if (elapsed) {
            this.call.incoming.life.abort(DEADLINE_PASSED);
        }
    }
}
