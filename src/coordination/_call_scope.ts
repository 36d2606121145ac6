/**
 * Lifetime of one call: from acceptance until it is answered, its deadline passes or its caller disconnects.
 *
 * @module
 */

import { type AcceptedCall, CALL_ENDED, DEADLINE_PASSED, Executed, NODE_STOPPED, Refusal, RefusalType } from "../protocol/mod.js";
import type { Clock } from "../state/mod.js";

/** Retry-after time sent to callers of a node that stops, in milliseconds. It is short because another node takes the call. */
const RETRY_AFTER_STOP_MS = 1_000;

/** Enforces the deadline of one call and tracks whether the call may have been executed. */
export class CallScope {
    /** Aborted at the deadline, when the caller disconnects, or when the scope is closed. */
    readonly signal: AbortSignal;
    /** Whether a backend server may have executed the call so far. */
    executed = Executed.No;

    /**
     * @param call Call whose deadline is enforced.
     * @param clock Clock that the deadline refers to.
     */
    constructor(readonly call: AcceptedCall, private readonly clock: Clock) {
        this.signal = call.incoming.abortController.signal;
        void this.watchDeadline();
    }

    /** Milliseconds until the deadline; negative after it. */
    get remainingMs(): number {
        return this.call.deadlineMs - this.clock.now();
    }

    /** Aborts the signal and so cancels everything that waits on it. */
    close(): void {
        this.call.incoming.abortController.abort(CALL_ENDED);
    }

    /** Returns the refusal that matches the reason for which the signal was aborted. */
    toRefusal(): Refusal {
        if (this.signal.reason === DEADLINE_PASSED) {
            const detail = `The answer was not whole within ${this.call.operation.promise.answerMs} ms.`;
            return new Refusal(RefusalType.DeadlinePassed, detail, { executed: this.executed });
        }
        if (this.signal.reason === NODE_STOPPED) {
            const type = this.executed === Executed.No ? RefusalType.NotReady : RefusalType.BackendFailed;
            return new Refusal(type, "The node stopped before the answer was whole.", {
                executed: this.executed,
                retryAfterMs: RETRY_AFTER_STOP_MS,
            });
        }
        return new Refusal(RefusalType.CallerGone, "The caller went away.", { executed: this.executed });
    }

    private async watchDeadline(): Promise<void> {
        const elapsed = await this.clock.sleep(Math.max(0, this.remainingMs), this.signal);
        if (elapsed) {
            this.call.incoming.abortController.abort(DEADLINE_PASSED);
        }
    }
}
