/**
 * Ejection of a backend server that fails, with a slow return.
 *
 * @module
 */

/** Failures in a row that eject. */
const MAX_CONSECUTIVE_FAILURES = 3;

/** Length of the first ejection, in milliseconds; doubles with each one. */
const FIRST_EJECTION_MS = 5_000;

/** Longest ejection, in milliseconds. */
const MAX_EJECTION_MS = 60_000;

/** Time without failure after which earlier ejections are forgotten, in milliseconds. */
const FORGET_AFTER_MS = 120_000;

/** Counts failures in a row and bars the backend server for a growing time. */
export class Ejection {
    private failures = 0;
    private ejections = 0;
    private untilMs = 0;

    /** Whether the backend server is barred now. */
    isEjected(nowMs: number): boolean {
        return nowMs < this.untilMs;
    }

    /** Records a whole answer. */
    recordSuccess(nowMs: number): void {
        this.failures = 0;
        if (nowMs - this.untilMs > FORGET_AFTER_MS) {
            this.ejections = 0;
        }
    }

    /**
     * Records a failure.
     *
     * @returns Whether the failure ejects the backend server.
     */
    recordFailure(nowMs: number): boolean {
        this.failures += 1;
        const limit = this.ejections > 0 ? 1 : MAX_CONSECUTIVE_FAILURES;
        if (this.failures < limit || this.isEjected(nowMs)) {
            return false;
        }
        this.untilMs = nowMs + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.ejections);
        this.ejections += 1;
        this.failures = 0;
        return true;
    }
}
