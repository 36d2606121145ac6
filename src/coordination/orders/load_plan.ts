/**
 * How many engines may load at the same time.
 *
 * @module
 */

/** Share of the weight store's rate that is left to others unless the deadline needs it. */
const DEFAULT_BANDWIDTH_SHARE = 0.5;

/** Largest share of the weight store's rate that may be taken at all. */
const MAX_BANDWIDTH_SHARE = 0.9;

/** What a plan depends on. */
export interface LoadPlanInput {
    /** Engines that have yet to load. */
    readonly remainingLoads: number;
    /** Bytes that each of them loads. */
    readonly bytesPerLoad: number;
    /** Rate that all loads of the weight store share, in bytes a second. */
    readonly bytesPerSecond: number;
    /** Loads of others that run now. */
    readonly otherLoads: number;
    /** Time to the deadline, in milliseconds. */
    readonly remainingMs: number;
    /** Engines that serve now. */
    readonly serving: number;
    /** Engines that must go on serving for the tiers' promises. */
    readonly neededServing: number;
}

/** How many engines may load, and whether that meets the deadline. */
export interface LoadPlan {
    readonly concurrency: number;
    /** Time that the loads will take, in milliseconds. */
    readonly expectedMs: number;
    readonly meetsDeadline: boolean;
}

/**
 * Plans the loads of a group.
 *
 * Loads share the store's rate evenly, so that the number of own loads among all sets the share of the rate. As many are allowed
 * as the deadline needs, at least as many as take a usual share, never so many that others starve or too few engines serve.
 */
export function planLoads(situation: LoadPlanInput): LoadPlan {
    const { remainingLoads: remaining, bytesPerLoad, bytesPerSecond, otherLoads, remainingMs: leftMs, serving, neededServing } =
        situation;
    const neededShare = leftMs <= 0 ?
        MAX_BANDWIDTH_SHARE :
        Math.min(MAX_BANDWIDTH_SHARE, remaining * bytesPerLoad / bytesPerSecond / leftMs * 1_000);
    const share = Math.max(DEFAULT_BANDWIDTH_SHARE, neededShare);
    const byRate = otherLoads === 0 ? remaining : Math.ceil(otherLoads * share / (1 - share));
    const byCapacity = Math.max(0, serving - neededServing);
    const concurrent = Math.min(remaining, byCapacity, Math.max(1, byRate));
    const ownRate = bytesPerSecond * concurrent / Math.max(1, concurrent + otherLoads);
    const expectedMs = ownRate === 0 ? Infinity : remaining * bytesPerLoad / ownRate * 1_000;
    return { concurrency: concurrent, expectedMs, meetsDeadline: expectedMs <= leftMs };
}
