/**
 * How long a call waits for a backend server, and after what time a refused caller is asked to retry.
 *
 * Bursts exceed the engines' slots for seconds. Calls that can still be in time are dispatched first, late calls wait for slots that
 * these leave, and callers that cannot be served soon are refused at once.
 *
 * @module
 */

import type { RandomSource, RelayRoute } from "../../state/relay/mod.js";

/** Fraction of the latency objective that may pass before a call is sent; the rest is for the prefill at a busy engine. */
const IN_TIME_FRACTION = 0.6;

/** Longest wait of a late call, as a multiple of its latency objective. */
const MAX_WAIT_OBJECTIVE_FACTOR = 1.6;

/** Longest wait of a caller's first attempt, in milliseconds; callers of streams disconnect after about 2 s without an event. */
const MAX_WAIT_MS = 1_300;

/** Longest wait of a caller's first attempt, as a fraction of the time that the caller still waits. */
const MAX_WAIT_DEADLINE_FRACTION = 0.35;

/** Shortest time after which a refused caller is asked to retry, in milliseconds. */
const MIN_RETRY_AFTER_MS = 300;

/** Earliest retry as a fraction of the latest one; most bursts have passed by then. */
const RETRY_AFTER_LOWER_BOUND_FRACTION = 0.5;

/** Latest retry as a fraction of the remaining time; callers accept no more than a third of it. */
const MAX_RETRY_AFTER_FRACTION = 0.32;

/** Time reserved for serving a call that was refused or waited longer than usual, in milliseconds. */
const SERVING_RESERVE_MS = 600;

/** Longest wait of a call whose caller was refused before, in milliseconds; long, so that it need not be asked to retry again. */
const MAX_CALLER_RETRY_WAIT_MS = 1_800;

/** Longest wait of a call whose caller was refused before, as a fraction of the time that the caller still waits. */
const CALLER_RETRY_WAIT_FRACTION = 0.6;

/** Fraction of a route's first-attempt deadline below which a call counts as a caller's retry. */
const CALLER_RETRY_DEADLINE_FRACTION = 0.97;

/** Times until which a call is in time and may wait. */
export interface WaitLimits {
    /** Whether the caller was refused before and retries as it was asked to. */
    readonly isCallerRetry: boolean;
    /** Time after which an unsent call is late, in milliseconds since the Unix epoch. */
    readonly inTimeUntilMs: number;
    /** Time at which an unsent call is refused, in milliseconds since the Unix epoch. */
    readonly giveUpAtMs: number;
}

/** Arrival and deadlines of a call whose wait is limited. */
export interface CallDeadline {
    /** Arrival, in milliseconds since the Unix epoch. */
    readonly arrivedAtMs: number;
    /** Time that the caller waits from the call's arrival, in milliseconds. */
    readonly deadlineMs: number;
    /** Estimated time that callers of the route wait from their first attempt, in milliseconds. */
    readonly firstAttemptDeadlineMs: number;
}

/**
 * Decides how long a call waits. The latency objective counts from the caller's first attempt. A retry is recognized by its
 * deadline, which is shorter than that of a first attempt by the time since that attempt.
 *
 * @param route Route of the call.
 * @param call See {@linkcode CallDeadline}.
 */
export function decideWaitLimits(route: RelayRoute, call: CallDeadline): WaitLimits {
    const { arrivedAtMs, deadlineMs, firstAttemptDeadlineMs } = call;
    const isCallerRetry = deadlineMs < firstAttemptDeadlineMs * CALLER_RETRY_DEADLINE_FRACTION;
    const firstAttemptAtMs = arrivedAtMs - Math.max(0, firstAttemptDeadlineMs - deadlineMs);
    const waitMs = isCallerRetry ?
        Math.min(MAX_CALLER_RETRY_WAIT_MS, deadlineMs * CALLER_RETRY_WAIT_FRACTION) :
        Math.min(MAX_WAIT_OBJECTIVE_FACTOR * route.objectiveMs, MAX_WAIT_MS, deadlineMs * MAX_WAIT_DEADLINE_FRACTION);
    return {
        isCallerRetry,
        inTimeUntilMs: firstAttemptAtMs + IN_TIME_FRACTION * route.objectiveMs,
        giveUpAtMs: arrivedAtMs + waitMs,
    };
}

/**
 * Returns the limits of a call that has waited while this node could give out no slot, so that this time does not count as waited.
 *
 * @param limits Limits of the call.
 * @param heldUpMs Time for which this node was held up while the call waited, in milliseconds.
 * @param endMs Time at which the call ends, in milliseconds since the Unix epoch; a server needs time before it.
 */
export function moveWaitLimits(limits: WaitLimits, heldUpMs: number, endMs: number): WaitLimits {
    const { isCallerRetry, inTimeUntilMs, giveUpAtMs } = limits;
    return {
        isCallerRetry,
        inTimeUntilMs: inTimeUntilMs + heldUpMs,
        giveUpAtMs: Math.max(giveUpAtMs, Math.min(giveUpAtMs + heldUpMs, endMs - SERVING_RESERVE_MS)),
    };
}

/** Returns the latest time after which a caller that still waits for a time may be asked to retry, both in milliseconds. */
export function latestRetryMs(remainingMs: number): number {
    return Math.min(remainingMs * MAX_RETRY_AFTER_FRACTION, remainingMs - SERVING_RESERVE_MS);
}

/** Times that bound a caller's retry, in milliseconds from now. */
export interface RetryBounds {
    /** Time that the caller still waits. */
    readonly remainingMs: number;
    /** Time before which a retry is of no use. */
    readonly earliestMs: number;
}

/**
 * Decides after what time a refused caller is asked to retry. The times are jittered so that callers refused together do not retry
 * together.
 *
 * @param bounds See {@linkcode RetryBounds}.
 * @param random Random source of the jitter.
 * @returns Time until the retry, in milliseconds, or `undefined` if too little time remains for one.
 */
export function decideRetryAfter(
    { remainingMs, earliestMs: usefulFromMs }: RetryBounds,
    random: RandomSource,
): number | undefined {
    const latestMs = latestRetryMs(remainingMs);
    if (latestMs < MIN_RETRY_AFTER_MS) {
        return undefined;
    }
    const earliestMs = Math.max(MIN_RETRY_AFTER_MS, latestMs * RETRY_AFTER_LOWER_BOUND_FRACTION, usefulFromMs);
    return earliestMs + random.next() * Math.max(0, latestMs - earliestMs);
}
