/**
 * Rate and burst of a bucket with which the calls of all nodes stay below a bound in any one second.
 *
 * @module
 */

import type { RateLimits } from "./shared_rate.js";

/** Share of the bound that is planned for; the rest covers calls that the network delays into the next second. */
const PLANNED_SHARE = 0.9;

/** Burst in seconds of the rate; nodes use up half of the level in each report interval, so a lower one would leave calls unused. */
const BURST_SECONDS = 0.45;

/** Time for which nodes do not know of each other's calls, in seconds: three report intervals of a large fleet. */
const UNSEEN_SECONDS = 0.3;

/** Standard deviations of the unseen calls that are planned for; nodes round their shares at random, so these are Poisson distributed. */
const PLANNED_DEVIATIONS = 2.5;

/** Time in which calls beyond the rate are made up for, in seconds. */
const MAX_DEBT_SECONDS = 1;

/** Report intervals that an allotment covers at most; more of them would let many nodes send at once after a pause. */
const MAX_INTERVALS = 1;

/** Report intervals for which a call stays allotted that other servers are preferred for; shorter ones leave many calls unused. */
const HELD_INTERVALS = 5;

/** Lowest rate, in calls per second, so that a bound of 0 cannot keep a server from all calls for ever. */
const MIN_CALLS_PER_SECOND = 0.1;

/**
 * Returns the limits with which a second's refill, a burst and what nodes send without knowing of each other stay below a bound:
 * `rate + BURST_SECONDS * rate + PLANNED_DEVIATIONS * sqrt(UNSEEN_SECONDS * rate) <= PLANNED_SHARE * bound`.
 *
 * @param boundPerSecond Calls that must not be exceeded in any one second.
 * @param maxCallsPerSecond Highest rate.
 */
export function boundedRate(boundPerSecond: number, maxCallsPerSecond: number): RateLimits {
    const factor = 1 + BURST_SECONDS;
    const spread = PLANNED_DEVIATIONS * Math.sqrt(UNSEEN_SECONDS);
    const root = (Math.sqrt(spread ** 2 + 4 * factor * PLANNED_SHARE * Math.max(0, boundPerSecond)) - spread) / (2 * factor);
    const tokensPerSecond = Math.max(MIN_CALLS_PER_SECOND, Math.min(maxCallsPerSecond, root ** 2));
    return {
        tokensPerSecond,
        burst: Math.max(1, BURST_SECONDS * tokensPerSecond),
        isBurstUsable: true,
        maxDebt: MAX_DEBT_SECONDS * tokensPerSecond,
        maxIntervals: MAX_INTERVALS,
        maxShare: 1,
        heldIntervals: HELD_INTERVALS,
    };
}
