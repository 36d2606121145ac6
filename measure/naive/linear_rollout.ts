/**
 * Naive rollout: a fixed linear ramp, and a rollback when a node sees too many errors.
 *
 * @module
 */

import type { AttemptResult } from "../../src/coordination/mod.js";

/** Part of the time to the deadline after which all calls go to the version. */
const RAMP_PART = 0.9;

/** Share of failed attempts from which a node rolls back, and attempts over which it is counted. */
const MAX_ERROR_SHARE = 0.05;
const COUNTED_ATTEMPTS = 50;

/** One node's ramp and error count. */
export class LinearRollout {
    /** Whether the node has rolled the version back. */
    stopped = false;
    private readonly outcomes: boolean[] = [];

    /**
     * @param startMs Start of the rollout.
     * @param deadlineMs Deadline of the rollout.
     */
    constructor(private readonly startMs: number, private readonly deadlineMs: number) {}

    /** Returns the share of calls that go to the version. */
    share(nowMs: number): number {
        const part = (nowMs - this.startMs) / (this.deadlineMs - this.startMs) / RAMP_PART;
        return this.stopped ? 0 : Math.max(0, Math.min(1, part));
    }

    /** Counts one attempt. */
    record(figures: AttemptResult): void {
        if (figures.version !== "new") {
            return;
        }
        this.outcomes.push(figures.whole);
        if (this.outcomes.length > COUNTED_ATTEMPTS) {
            this.outcomes.shift();
        }
        const failed = this.outcomes.filter(whole => !whole).length;
        this.stopped ||= this.outcomes.length === COUNTED_ATTEMPTS && failed > MAX_ERROR_SHARE * COUNTED_ATTEMPTS;
    }
}
