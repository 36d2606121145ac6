/**
 * Share of calls that a version may have at a time.
 *
 * @module
 */

/** Share of the pool's calls that a version may have before the early evidence suffices. */
export const CANARY_SHARE = 0.027;

/** Largest share of one operation's calls before the early evidence suffices. */
const MAX_CANARY_OPERATION_SHARE = 0.25;

/** Parts of the time from start to deadline. */
const EARLIEST_RAMP_START_FRACTION = 0.3;
const LATEST_RAMP_START_FRACTION = 0.6;
const RAMP_FRACTION = 0.25;

/** Part of that time in which the share may at the fastest go from the first share to all. */
const MIN_RAMP_FRACTION = 0.1;

/** Part of that time that must be left after the fastest ramp, or the deadline counts as endangered. */
const MIN_SLACK_FRACTION = 0.2;

/** Times of a rollout, in milliseconds since the Unix epoch. */
export interface RolloutTimes {
    readonly startMs: number;
    readonly deadlineMs: number;
}

/**
 * Returns the share that the time allows when nothing holds the rollout.
 *
 * @param times Start and deadline.
 * @param nowMs Present time.
 * @param clearedAtMs Time at which the early evidence sufficed; `undefined` before.
 */
export function plannedShare(times: RolloutTimes, nowMs: number, clearedAtMs: number | undefined): number {
    const lifeMs = times.deadlineMs - times.startMs;
    const earliestMs = times.startMs + EARLIEST_RAMP_START_FRACTION * lifeMs;
    const latestMs = times.startMs + LATEST_RAMP_START_FRACTION * lifeMs;
    const rampStartMs = Math.min(latestMs, Math.max(earliestMs, clearedAtMs ?? Infinity));
    if (nowMs <= rampStartMs) {
        return CANARY_SHARE;
    }
    return Math.min(1, CANARY_SHARE ** (1 - (nowMs - rampStartMs) / (RAMP_FRACTION * lifeMs)));
}

/**
 * Returns the share that may follow on another one.
 *
 * @param share Share so far.
 * @param wanted Share that is wanted; lower shares are taken over at once.
 * @param times Start and deadline.
 * @param elapsedMs Time since the share so far was set.
 */
export function nextShare(share: number, wanted: number, times: RolloutTimes, elapsedMs: number): number {
    const fastestMs = MIN_RAMP_FRACTION * (times.deadlineMs - times.startMs);
    const growth = CANARY_SHARE ** (-elapsedMs / fastestMs);
    return Math.min(wanted, Math.max(share, CANARY_SHARE) * growth);
}

/**
 * Tells whether the deadline is in danger: even the fastest ramp from here would leave little time.
 *
 * @param times Start and deadline.
 * @param nowMs Present time.
 * @param share Share so far.
 */
export function isDeadlineAtRisk(times: RolloutTimes, nowMs: number, share: number): boolean {
    const lifeMs = times.deadlineMs - times.startMs;
    const rampMs = MIN_RAMP_FRACTION * lifeMs * Math.log(Math.max(share, CANARY_SHARE)) / Math.log(CANARY_SHARE);
    return nowMs + rampMs + MIN_SLACK_FRACTION * lifeMs > times.deadlineMs;
}

/**
 * Returns the share of one operation's calls.
 *
 * Before the ramp each operation has the same part of the pool's small share, so that a rare operation gathers evidence as fast as
 * a frequent one.
 *
 * @param share Share of the pool's calls.
 * @param operationPart Part that the operation has of the pool's calls; `undefined` when not known yet.
 * @param operationCount Operations that the pool's calls belong to.
 */
export function operationShare(share: number, operationPart: number | undefined, operationCount: number): number {
    if (share <= 0 || share >= 1 || operationPart === undefined) {
        return share;
    }
    const canary = Math.min(MAX_CANARY_OPERATION_SHARE, CANARY_SHARE / (operationCount * Math.max(operationPart, 0.01)));
    return share <= CANARY_SHARE ? Math.min(1, canary * share / CANARY_SHARE) : Math.max(share, canary);
}
