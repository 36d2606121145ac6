/**
 * Naive rollout: a fixed linear ramp, and a rollback when the error rate at a node exceeds a threshold.
 *
 * @module
 */

import type { AttemptResult } from "../../src/coordination/mod.js";

/** Fraction of the time to the deadline after which all calls go to the new version. */
const RAMP_FRACTION = 0.9;

/** Fraction of failed attempts above which a node rolls back, and number of recent attempts it is computed over. */
const MAX_ERROR_RATE = 0.05;
const ERROR_WINDOW_ATTEMPTS = 50;

/** Ramp and error rate of the rollout at one node. */
export class LinearRollout {
    /** Whether the new version has been rolled back at this node. */
    isRolledBack = false;
    private readonly outcomes: boolean[] = [];

    /**
     * @param startMs Start of the rollout, in milliseconds since the Unix epoch.
     * @param deadlineMs Deadline of the rollout, in milliseconds since the Unix epoch.
     */
    constructor(private readonly startMs: number, private readonly deadlineMs: number) {}

    /** Returns the share of calls that go to the new version. */
    share(nowMs: number): number {
        const progress = (nowMs - this.startMs) / (this.deadlineMs - this.startMs) / RAMP_FRACTION;
        return this.isRolledBack ? 0 : Math.max(0, Math.min(1, progress));
    }

    /** Records the result of an attempt and rolls back if the error rate is too high. */
    recordAttempt(result: AttemptResult): void {
        if (result.version !== "new") {
            return;
        }
        this.outcomes.push(result.completed);
        if (this.outcomes.length > ERROR_WINDOW_ATTEMPTS) {
            this.outcomes.shift();
        }
        const failed = this.outcomes.filter(whole => !whole).length;
        this.isRolledBack ||= this.outcomes.length === ERROR_WINDOW_ATTEMPTS && failed > MAX_ERROR_RATE * ERROR_WINDOW_ATTEMPTS;
    }
}
