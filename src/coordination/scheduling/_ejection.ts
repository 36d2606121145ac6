/**
 * Ejection of a backend server that fails, with a slow return.
 *
 * @module
 */

/** Failures in a row that eject. */
const MAX_CONSECUTIVE_FAILURES = 3;

/** Length of the first ejection, in milliseconds; doubles with each one. */
const BASE_EJECTION_MS = 5_000;

/** Longest ejection, in milliseconds. */
const MAX_EJECTION_MS = 60_000;

/** Time without failure after which earlier ejections are forgotten, in milliseconds. */
const EJECTION_RESET_MS = 120_000;

/** Counts failures in a row and bars the backend server for a growing time. */
export class Ejection {
    private consecutiveFailures = 0;
    private ejections = 0;
    private ejectedUntilMs = 0;

    /** Whether the backend server is barred now. */
    isEjected(nowMs: number): boolean {
        return nowMs < this.ejectedUntilMs;
    }

    /** Records a whole answer. */
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
