/**
 * Temporary ejection of a backend server after failed calls, with exponential backoff.
 *
 * @module
 */

/** Consecutive failures that cause the first ejection; while earlier ejections count, one failure is enough. */
const MAX_CONSECUTIVE_FAILURES = 3;

/** Duration of the first ejection, in milliseconds; it doubles with each further one. */
const BASE_EJECTION_MS = 5_000;

/** Maximum duration of an ejection, in milliseconds. */
const MAX_EJECTION_MS = 60_000;

/** Time after the end of the last ejection at which a success resets the number of ejections, in milliseconds. */
const EJECTION_RESET_MS = 120_000;

/** Counts consecutive failures and ejects the backend server for exponentially longer periods. */
export class Ejection {
    private consecutiveFailures = 0;
    private ejections = 0;
    private ejectedUntilMs = 0;

    /** Whether the backend server is ejected at the given time. */
    isEjected(nowMs: number): boolean {
        return nowMs < this.ejectedUntilMs;
    }

    /** Records a complete answer. */
    recordSuccess(nowMs: number): void {
        this.consecutiveFailures = 0;
        if (nowMs - this.ejectedUntilMs > EJECTION_RESET_MS) {
            this.ejections = 0;
        }
    }

    /**
     * Records a failure.
     *
     * @returns Whether the failure ejects the backend server.
     */
    recordFailure(nowMs: number): boolean {
        this.consecutiveFailures += 1;
        const limit = this.ejections > 0 ? 1 : MAX_CONSECUTIVE_FAILURES;
        if (this.consecutiveFailures < limit || this.isEjected(nowMs)) {
            return false;
        }
        this.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2 ** this.ejections);
        this.ejections += 1;
        this.consecutiveFailures = 0;
        return true;
    }
}
