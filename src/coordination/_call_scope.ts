/**
 * Life of one call: from acceptance to its deadline or to its caller's going away.
 *
 * @module
 */

import { type AcceptedCall, Executed, Refusal, RefusalType } from "../protocol/mod.js";
import type { Clock } from "../state/mod.js";

/** Reasons for the end of a scope; made once, since an error's stack is dear. */
const SCOPE_CLOSED = new Error("the call has ended");
const CALLER_GONE = new Error("the caller went away");
const DEADLINE_PASSED = new Error("the deadline has passed");

/** Bounds one call in time and collects whether it can have run. */
export class CallScope {
    /** Is aborted at the deadline, when the caller goes away, or when the scope is closed. */
    readonly signal: AbortSignal;
    /** Whether a backend server can have run the call so far. */
    executed = Executed.No;
    private readonly controller = new AbortController();
    private deadlinePassed = false;

    /**
     * @param call Call that the scope is for.
     * @param clock Clock that the deadline is measured by.
     */
    constructor(readonly call: AcceptedCall, private readonly clock: Clock) {
        this.signal = this.controller.signal;
        const { gone } = call.incoming;
        gone.addEventListener("abort", () => this.controller.abort(CALLER_GONE), { once: true });
        if (gone.aborted) {
            this.controller.abort(CALLER_GONE);
        }
        void this.watchDeadline();
    }

    /** Milliseconds until the deadline; negative after it. */
    get remainingMs(): number {
        return this.call.deadlineMs - this.clock.now();
    }

    /** Ends the scope and everything that waits on its signal. */
    close(): void {
        this.controller.abort(SCOPE_CLOSED);
    }

    /** Returns the refusal that tells why the signal was aborted. */
    toRefusal(): Refusal {
        if (this.deadlinePassed) {
            const detail = `The answer was not whole within ${this.call.operation.promise.answerMs} ms.`;
            return new Refusal(RefusalType.DeadlinePassed, detail, { executed: this.executed });
        }
        return new Refusal(RefusalType.CallerGone, "The caller went away.", { executed: this.executed });
    }

    private async watchDeadline(): Promise<void> {
        const elapsed = await this.clock.sleep(Math.max(0, this.remainingMs), this.signal);
        if (elapsed) {
            this.deadlinePassed = true;
            this.controller.abort(DEADLINE_PASSED);
        }
    }
}
