/**
 * Schedule of the share of calls that a version may receive.
 *
 * @module
 */

/** Share of the pool's calls that a version may receive before the canary evidence is sufficient. */
export const CANARY_SHARE = 0.027;

/** Maximum share of one operation's calls before the canary evidence is sufficient. */
const MAX_CANARY_OPERATION_SHARE = 0.25;

/** Earliest and latest start of the ramp and its duration, as fractions of the time from start to deadline. */
const EARLIEST_RAMP_START_FRACTION = 0.3;
const LATEST_RAMP_START_FRACTION = 0.6;
const RAMP_FRACTION = 0.25;

/** Minimum duration of a ramp from the canary share to all calls, as a fraction of the time from start to deadline. */
const MIN_RAMP_FRACTION = 0.1;

/** Time that must remain after the fastest ramp, as a fraction of the time from start to deadline, or the deadline is at risk. */
const MIN_SLACK_FRACTION = 0.2;

/** Minimum fraction of the pool's calls that is assumed for an operation. */
const MIN_OPERATION_FRACTION = 0.01;

/** Times of a rollout, in milliseconds since the Unix epoch. */
export interface RolloutTimes {
    readonly startMs: number;
    readonly deadlineMs: number;
}

/**
 * Returns the planned share of a rollout that is not held.
 *
 * @param times Start and deadline.
 * @param nowMs Current time.
 * @param clearedAtMs Time at which the canary evidence became sufficient; `undefined` before.
 */
export function plannedShare(times: RolloutTimes, nowMs: number, clearedAtMs: number | undefined): number {
    const durationMs = times.deadlineMs - times.startMs;
    const earliestMs = times.startMs + EARLIEST_RAMP_START_FRACTION * durationMs;
    const latestMs = times.startMs + LATEST_RAMP_START_FRACTION * durationMs;
    const rampStartMs = Math.min(latestMs, Math.max(earliestMs, clearedAtMs ?? Infinity));
    if (nowMs <= rampStartMs) {
        return CANARY_SHARE;
    }
    return Math.min(1, CANARY_SHARE ** (1 - (nowMs - rampStartMs) / (RAMP_FRACTION * durationMs)));
}

/**
 * Returns the next share towards a target, with exponential growth limited to the fastest ramp.
 *
 * @param share Current share.
 * @param target Target share; a lower one is adopted at once.
 * @param times Start and deadline.
 * @param elapsedMs Time since the current share was set.
 */
export function nextShare(share: number, target: number, times: RolloutTimes, elapsedMs: number): number {
    const minRampMs = MIN_RAMP_FRACTION * (times.deadlineMs - times.startMs);
    const growth = CANARY_SHARE ** (-elapsedMs / minRampMs);
    return Math.min(target, Math.max(share, CANARY_SHARE) * growth);
}

/**
 * Returns whether the deadline is at risk: even the fastest ramp from the current share would leave too little slack.
 *
 * @param times Start and deadline.
 * @param nowMs Current time.
 * @param share Current share.
 */
export function isDeadlineAtRisk(times: RolloutTimes, nowMs: number, share: number): boolean {
    const durationMs = times.deadlineMs - times.startMs;
    const rampMs = MIN_RAMP_FRACTION * durationMs * Math.log(Math.max(share, CANARY_SHARE)) / Math.log(CANARY_SHARE);
    return nowMs + rampMs + MIN_SLACK_FRACTION * durationMs > times.deadlineMs;
}

/**
 * Returns the share of one operation's calls.
 *
 * Before the ramp, the pool's canary share is divided equally between operations, so that a rare operation gathers evidence as
 * fast as a frequent one.
 *
 * @param share Share of the pool's calls.
 * @param operationFraction Fraction of the pool's calls that belong to the operation; `undefined` if not known yet.
 * @param operationCount Number of operations in the pool's calls.
 */
export function operationShare(share: number, operationFraction: number | undefined, operationCount: number): number {
    if (share <= 0 || share >= 1 || operationFraction === undefined) {
        return share;
    }
    const canary = Math.min(
        MAX_CANARY_OPERATION_SHARE,
        CANARY_SHARE / (operationCount * Math.max(operationFraction, MIN_OPERATION_FRACTION)),
    );
    return share <= CANARY_SHARE ? Math.min(1, canary * share / CANARY_SHARE) : Math.max(share, canary);
}
