/**
 * Measuring of attempts at backend servers.
 *
 * @module
 */

import type { Clock } from "../state/mod.js";
import type { CallScope } from "./_call_scope.js";
import { ObservedAssignment } from "./_observed_assignment.js";
import type { AttemptObserver } from "./attempt_observer.js";
import type { Assignment } from "./scheduler.js";

/** Measures attempts and tells an observer of each. */
export class AttemptMeter {
    /**
     * @param clock Clock to measure by.
     * @param observer Is told of each attempt.
     */
    constructor(private readonly clock: Clock, private readonly observer: AttemptObserver) {}

    /**
     * Begins to measure an attempt.
     *
     * @param assignment Assignment of the scheduler.
     * @param scope Call that the attempt belongs to.
     * @returns Assignment to use in its place.
     */
    measure(assignment: Assignment, scope: CallScope): Assignment {
        const { name, pool } = scope.call.operation;
        const subject = { pool, operation: name, isDeadlinePassed: () => scope.remainingMs <= 0 };
        return new ObservedAssignment(assignment, subject, this.observer, this.clock);
    }
}
