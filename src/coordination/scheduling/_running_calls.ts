/**
 * Calls that run at model engines.
 *
 * @module
 */

import type { TrackedAssignment } from "./_tracked_assignment.js";

/** Time left to the promise below which a lagging call is left where it is, in milliseconds. */
const MIN_REMAINING_MS = 100;

/** Finds the calls that lag. */
export class RunningCalls {
    private readonly assignments = new Set<TrackedAssignment>();

    /** Adds a call that was sent. */
    add(assignment: TrackedAssignment): void {
        this.assignments.add(assignment);
    }

    /** Removes a call that has ended. */
    delete(assignment: TrackedAssignment): void {
        this.assignments.delete(assignment);
    }

    /** Tells the holders of calls that lag while another backend server can still keep the promise, each once. */
    notifyStragglers(nowMs: number): void {
        for (const assignment of this.assignments) {
            const { call, window, outstanding, overdueNotified: isOverdue } = assignment;
            const { firstTokenMs = Infinity } = call.operation.promise;
            const dueMs = outstanding.started ? call.deadlineMs : Math.min(call.deadlineMs, call.acceptedAtMs + firstTokenMs);
            if (!isOverdue && dueMs - nowMs > MIN_REMAINING_MS && window.isStraggler(outstanding, call.deadlineMs, nowMs)) {
                assignment.overdueNotified = true;
                assignment.onOverdue();
            }
        }
    }
}
