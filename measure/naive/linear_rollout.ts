/**
 * Naive rollout: a fixed linear ramp, and a rollback when a node sees too many errors.
 *
 * @module
 */

import type { AttemptResult } from "../../src/coordination/mod.js";

/** Part of the time to the deadline after which all calls go to the version. */
const RAMP_FRACTION = 0.9;

/** Share of failed attempts from which a node rolls back, and attempts over which it is counted. */
const MAX_ERROR_RATE = 0.05;
const ERROR_WINDOW_ATTEMPTS = 50;

/** One node's ramp and error count. */
export class LinearRollout {
    /** Whether the node has rolled the version back. */
    isRolledBack = false;
    private readonly outcomes: boolean[] = [];

    /**
     * @param startMs Start of the rollout.
     * @param deadlineMs Deadline of the rollout.
     */
    constructor(private readonly startMs: number, private readonly deadlineMs: number) {}

    /** Returns the share of calls that go to the version. */
    share(nowMs: number): number {
        const part = (nowMs - this.startMs) / (this.deadlineMs - this.startMs) / RAMP_FRACTION;
        return this.isRolledBack ? 0 : Math.max(0, Math.min(1, part));
    }

    /** Counts one attempt. */
    recordAttempt(figures: AttemptResult): void {
        if (figures.version !== "new") {
            return;
        }
        this.outcomes.push(figures.whole);
        if (this.outcomes.length > ERROR_WINDOW_ATTEMPTS) {
            this.outcomes.shift();
        }
        const failed = this.outcomes.filter(whole => !whole).length;
        this.isRolledBack ||= this.outcomes.length === ERROR_WINDOW_ATTEMPTS && failed > MAX_ERROR_RATE * ERROR_WINDOW_ATTEMPTS;
    }
}
