/**
 * Measurement of attempts on backend servers.
 *
 * @module
 */

import type { Clock } from "../state/mod.js";
import type { CallScope } from "./_call_scope.js";
import { ObservedAssignment } from "./_observed_assignment.js";
import type { AttemptObserver } from "./attempt_observer.js";
import type { Assignment } from "./scheduler.js";

/** Measures attempts and reports each result to an observer. */
export class AttemptMeter {
    /**
     * @param clock Clock that timestamps the tokens.
     * @param observer Receives the result of each attempt.
     */
    constructor(private readonly clock: Clock, private readonly observer: AttemptObserver) {}

    /**
     * Wraps an assignment so that its attempt is measured.
     *
     * @param assignment Assignment made by the scheduler.
     * @param scope Call that the attempt belongs to.
     * @returns Assignment to use instead of the given one.
     */
    measure(assignment: Assignment, scope: CallScope): Assignment {
        const { name, pool } = scope.call.operation;
        const context = { pool, operation: name, isDeadlinePassed: () => scope.remainingMs <= 0 };
        return new ObservedAssignment(assignment, context, this.observer, this.clock);
    }
}
