/**
 * Calls in progress at model engines.
 *
 * @module
 */

import type { TrackedAssignment } from "./_tracked_assignment.js";

/** Remaining time to the latency objective below which a straggler is not moved, in milliseconds. */
const MIN_REMAINING_MS = 100;

/** Tracks calls in progress to find stragglers. */
export class RunningCalls {
    private readonly assignments = new Set<TrackedAssignment>();

    /** Adds a call that was dispatched. */
    add(assignment: TrackedAssignment): void {
        this.assignments.add(assignment);
    }

    /** Removes a call that has ended. */
    delete(assignment: TrackedAssignment): void {
        this.assignments.delete(assignment);
    }

    /** Notifies the holder of each straggler, once, while another backend server can still meet the latency objective. */
    notifyStragglers(nowMs: number): void {
        for (const assignment of this.assignments) {
            const { call, window, outstanding, overdueNotified } = assignment;
            const { firstTokenMs = Infinity } = call.operation.promise;
            const dueMs = outstanding.started ? call.deadlineMs : Math.min(call.deadlineMs, call.acceptedAtMs + firstTokenMs);
            if (!overdueNotified && dueMs - nowMs > MIN_REMAINING_MS && window.isStraggler(outstanding, call.deadlineMs, nowMs)) {
                assignment.overdueNotified = true;
                assignment.onFirstTokenOverdue();
            }
        }
    }
}
