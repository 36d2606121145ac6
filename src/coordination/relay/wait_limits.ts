/**
 * How long a call waits for a backend server and when its caller is asked to come back.
 *
 * Answers the load of bursts that exceed the engines' places for seconds: calls that can still be in time go first, late ones
 * wait for gaps, and whoever cannot be served soon is told so at once.
 *
 * @module
 */

import type { RandomSource, RelayRoute } from "../../state/relay/mod.js";

/** Part of the objective that may pass before a call is sent; the rest is for reading its prompt at a busy engine. */
const IN_TIME_FRACTION = 0.6;

/** Longest wait of a late call as a multiple of its objective. */
const MAX_WAIT_OBJECTIVE_FACTOR = 1.6;

/** Longest wait of any call, in milliseconds; callers of streams leave after about 2 s without an event. */
const MAX_WAIT_MS = 1_300;

/** Part of the time left that a call may wait. */
const MAX_WAIT_DEADLINE_FRACTION = 0.35;

/** Shortest time after which a refused caller is asked to return, in milliseconds. */
const MIN_RETRY_AFTER_MS = 300;

/** Part of the latest return before which nobody returns; most bursts have passed by then. */
const RETRY_AFTER_LOWER_BOUND_FRACTION = 0.5;

/** Part of the time left after which a refused caller returns at the latest; callers take no more than a third. */
const MAX_RETRY_AFTER_FRACTION = 0.32;

/** Time that a call which returns needs to be served, in milliseconds. */
const SERVING_RESERVE_MS = 600;

/** Longest wait of a call whose caller was refused before, in milliseconds; it is not asked to return again. */
const MAX_CALLER_RETRY_WAIT_MS = 1_800;

/** Part of the time left that a call whose caller was refused before may wait. */
const CALLER_RETRY_WAIT_FRACTION = 0.6;

/** Part of a route's usual deadline below which a caller has come back. */
const CALLER_RETRY_DEADLINE_FRACTION = 0.97;

/** When a call stops being in time, and when it is given up. */
export interface WaitLimits {
    /** Whether its caller was refused before and has come back as it was asked to. */
    readonly hasReturned: boolean;
    /** Sent later than this, the call is late; in milliseconds since the Unix epoch. */
    readonly inTimeUntilMs: number;
    /** Not sent by then, the call is refused; in milliseconds since the Unix epoch. */
    readonly giveUpAtMs: number;
}

/** Call whose patience is decided. */
export interface CallDeadline {
    /** Arrival, in milliseconds since the Unix epoch. */
    readonly arrivedAtMs: number;
    /** Time that the caller waits from the arrival on, in milliseconds. */
    readonly deadlineMs: number;
    /** Time that callers of the route usually wait from their first attempt on, in milliseconds. */
    readonly usualDeadlineMs: number;
}

/**
 * Decides how long a call waits. The objective counts from the caller's first attempt, which is seen by the deadline: whoever
 * comes back has less of it left than is usual.
 *
 * @param route Route of the call.
 * @param question See {@linkcode CallDeadline}.
 */
export function decideWaitLimits(route: RelayRoute, question: CallDeadline): WaitLimits {
    const { arrivedAtMs, deadlineMs, usualDeadlineMs } = question;
    const hasReturned = deadlineMs < usualDeadlineMs * CALLER_RETRY_DEADLINE_FRACTION;
    const firstAttemptMs = arrivedAtMs - Math.max(0, usualDeadlineMs - deadlineMs);
    const waitMs = hasReturned ?
        Math.min(MAX_CALLER_RETRY_WAIT_MS, deadlineMs * CALLER_RETRY_WAIT_FRACTION) :
        Math.min(MAX_WAIT_OBJECTIVE_FACTOR * route.objectiveMs, MAX_WAIT_MS, deadlineMs * MAX_WAIT_DEADLINE_FRACTION);
    return {
        hasReturned,
        inTimeUntilMs: firstAttemptMs + IN_TIME_FRACTION * route.objectiveMs,
        giveUpAtMs: arrivedAtMs + waitMs,
    };
}

/**
 * Decides when a refused caller is to come back. Returns are spread, so that those who were refused together do not meet again.
 *
 * @param leftMs Time that the caller still waits, in milliseconds.
 * @param random Source of the spread.
 * @returns Time in milliseconds, or `undefined` when coming back makes no sense.
 */
export function decideRetryAfter(leftMs: number, random: RandomSource): number | undefined {
    const latestMs = Math.min(leftMs * MAX_RETRY_AFTER_FRACTION, leftMs - SERVING_RESERVE_MS);
    if (latestMs < MIN_RETRY_AFTER_MS) {
        return undefined;
    }
    const earliestMs = Math.max(MIN_RETRY_AFTER_MS, latestMs * RETRY_AFTER_LOWER_BOUND_FRACTION);
    return earliestMs + random.next() * (latestMs - earliestMs);
}
